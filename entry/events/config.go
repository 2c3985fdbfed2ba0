package events

import "github.com/charmbracelet/log"

// Events of the platform client and the configuration.
var (
	ConfigurationInForce = define(2001, log.InfoLevel, "configuration in force",
		"A new generation replaced the previous one on this VM.")
	PlatformReadFailed = define(2002, log.WarnLevel, "platform read failed",
		"The platform did not answer; the configuration in force stays.")
)
