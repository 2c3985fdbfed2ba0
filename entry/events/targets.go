package events

import "github.com/charmbracelet/log"

// Events of the targets and their health.
var (
	TargetEjected = define(4001, log.WarnLevel, "target ejected",
		"The evidence against a target passed its threshold; it gets no work until it is reinstated.")
	TargetLeaving = define(4002, log.InfoLevel, "target leaving",
		"A target said that it drains; it gets no new work from this VM.")
)
