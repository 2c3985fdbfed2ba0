package events

import "github.com/charmbracelet/log"

// Events of the platform client and the configuration.
var (
	ConfigurationInForce = define(2001, log.InfoLevel, "configuration in force",
		"A new generation replaced the previous one on this VM.")
	PlatformReadFailed = define(2002, log.WarnLevel, "platform read failed",
		"The platform did not answer; the configuration in force stays.")
	PlatformRecovered = define(2003, log.InfoLevel, "platform answers again",
		"The platform answers after a time of failed calls.")
	OlderRootIgnored = define(2004, log.WarnLevel, "older root ignored",
		"A stale replica or a peer that was away offered an older generation; nothing needs to be done.")
	RootConflict = define(2005, log.ErrorLevel, "two roots of one generation",
		"The publisher published two roots of one generation. The one with the greater digest is taken; publish the next generation.")
	DefinitionRejected = define(2006, log.WarnLevel, "definition rejected",
		"A published definition did not pass; its last good form stays in force, if there is one. Correct and publish it again.")
	ConfigurationNotApplied = define(2007, log.WarnLevel, "configuration not applied",
		"The newest generation could not be put in force yet; it is tried again.")
	VMListReadFailed = define(2008, log.WarnLevel, "VM list unread",
		"The platform's list of VMs could not be read; the last one stays in force on this reader.")
)
