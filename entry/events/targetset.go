package events

import "github.com/charmbracelet/log"

// Events of the targets that the platform publishes.
var (
	TargetFound = define(4101, log.InfoLevel, "target found",
		"A target was published or restarted; its state determines whether it gets requests.")
	TargetStateChanged = define(4102, log.InfoLevel, "target changed its state",
		"A target reported that it drains, or that it is ready again; a draining target gets no new requests.")
	TargetGone = define(4103, log.InfoLevel, "target gone",
		"The target's entry is removed; it gets no new requests.")
	TargetSuspected = define(4104, log.WarnLevel, "target suspected",
		"The results of attempts, here and on other VMs, indicate a fault; requests that must not run twice avoid the target.")
	TargetCleared = define(4105, log.InfoLevel, "target cleared",
		"The results of attempts no longer indicate a fault.")
	TargetUnreachable = define(4106, log.WarnLevel, "target not reachable from here",
		"No connection can be opened, or the target does not respond; this VM sends it no requests until a connection opens.")
	TargetLimited = define(4108, log.InfoLevel, "target limits its requests",
		"A target named, changed or lifted the requests a second that it takes from all VMs together, in a response to this VM (empty reporter) or another one; the VMs that share the limit send no more.")
	TargetLeaves = define(4109, log.InfoLevel, "target says that it leaves",
		"A target said in a response to this VM (empty reporter) or another one that it is about to end; it gets no new requests until it starts anew, whatever the store says.")
	TargetPauses = define(4110, log.InfoLevel, "target asks for a pause",
		"A target refused a request and wants nothing from this VM for a time.")
	TargetReachable = define(4107, log.InfoLevel, "target reachable again",
		"This VM can open a connection to the target again.")
	PathLost = define(4111, log.WarnLevel, "no target of the service reachable from here",
		"Connections to several targets failed, or several targets that answer other VMs lost this VM's requests (observed tells which): the path from this VM is at fault. lost lists these requests, each as target, milliseconds since it began, and ended or late; answered_here_ms and answered_any_ms are the age of the latest response to this VM and to any VM (-1 for none), in_progress is the number of this VM's attempts in progress. 4112 follows when a response arrives.")
	AttemptGivenUp = define(4115, log.WarnLevel, "attempt given up",
		"This VM ended an idempotent attempt at which the target may still work, since no target of the service is reachable from here (4111) and another VM may serve the request; at_target_ms is the time since the last bytes of its request were written.")
	SilenceChecked = define(4116, log.InfoLevel, "path with late requests checked",
		"Several requests of this VM are late although targets of the service answer other VMs, so this VM probed some targets; result is response when one responded (the requests take long), failed when none could be reached (4111 follows), and undecided otherwise (4111 follows if the losses go on). The other fields are those of 4111.")
	RoomShort = define(4113, log.WarnLevel, "service short of room",
		"A request was refused (no_room) since others go first while the service is full: those of higher priority (cause urgency), or of customers that send no more than usual (excess); too_late could not end in its time. Logged for the first refusal; the counter targets_room_refused has all.")
	RoomRegained = define(4114, log.InfoLevel, "service has room again",
		"No request was refused for lack of room (4113) for 5 s.")
	PathFound = define(4112, log.InfoLevel, "service reachable from here again",
		"A target of the service answered this VM again.")
)
