package events

import "github.com/charmbracelet/log"

// Events of the targets that the platform publishes.
var (
	TargetFound = define(4101, log.InfoLevel, "target found",
		"A published target, or a new start of one, can take requests according to its state.")
	TargetStateChanged = define(4102, log.InfoLevel, "target changed its state",
		"A target says that it drains, or that it is ready again; a draining target gets no new request.")
	TargetGone = define(4103, log.InfoLevel, "target gone",
		"The target's entry is removed; it gets no new request.")
	TargetSuspected = define(4104, log.WarnLevel, "target suspected",
		"The ends of attempts, here and on other VMs, speak for a fault; requests that must not run twice avoid the target.")
	TargetCleared = define(4105, log.InfoLevel, "target cleared",
		"The ends of attempts no longer speak for a fault.")
	TargetUnreachable = define(4106, log.WarnLevel, "target not reachable from here",
		"No connection opens, or the target is silent; this VM leaves it out until a connection opens.")
	TargetReachable = define(4107, log.InfoLevel, "target reachable again",
		"A connection opens again from this VM.")
)
