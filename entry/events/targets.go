package events

import "github.com/charmbracelet/log"

// Events of the targets and their health.
var (
	TargetEjected = define(4001, log.WarnLevel, "target ejected",
		"The evidence against a target passed its threshold; it gets no work until it is reinstated.")
	TargetLeaving = define(4002, log.InfoLevel, "target leaving",
		"A target said that it drains; it gets no new work from this VM.")
	TargetReturned = define(4003, log.InfoLevel, "target returned",
		"A target that was out takes work again, at first with a small share.")
	TargetAvoided = define(4004, log.WarnLevel, "target avoided",
		"Only the VMs of one side see faults of a target, so the path is at fault; this VM avoids it.")
	LessorChanged = define(4005, log.InfoLevel, "keeper changed",
		"Slots of a service are leased by another VM; without one, this VM chooses targets by itself.")
)
