package events

import "github.com/charmbracelet/log"

// Events of the targets and their health.
var (
	TargetEjected = define(4001, log.WarnLevel, "target ejected",
		"The evidence against a target passed its threshold; it gets no work until it is reinstated.")
	TargetAvoided = define(4003, log.WarnLevel, "target avoided",
		"Only one VM or zone has trouble with a target; those on that side avoid the path.")
	TargetReturning = define(4004, log.InfoLevel, "target returning",
		"A target that was ejected or avoided takes work again.")
	TargetLeaving = define(4002, log.InfoLevel, "target leaving",
		"A target said that it drains; it gets no new work from this VM.")
)
