package events

import "github.com/charmbracelet/log"

// Events of the targets and their health.
var (
	TargetEjected = define(4001, log.WarnLevel, "target ejected",
		"The evidence against a target passed the ejection threshold; it gets no requests until it is reinstated.")
	TargetLeaving = define(4002, log.InfoLevel, "target leaving",
		"A target reported that it drains; it gets no new requests from this VM.")
	TargetReturned = define(4003, log.InfoLevel, "target returned",
		"A target that was out of service gets requests again, at first a small share.")
	TargetAvoided = define(4004, log.WarnLevel, "target avoided",
		"Only this VM or only VMs of its zone see faults of a target, so the network path is at fault; this VM avoids the target.")
	LessorChanged = define(4005, log.InfoLevel, "keeper changed",
		"The lessor of a service (log key keeper) changed; without a lessor, this VM chooses targets by itself.")
)
