package events

import "github.com/charmbracelet/log"

// Events of the platform client and the configuration.
var (
	ConfigurationInForce = define(2001, log.InfoLevel, "configuration in force",
		"A new generation replaced the previous one on this VM.")
	PlatformReadFailed = define(2002, log.WarnLevel, "platform read failed",
		"The platform did not answer; the current configuration stays in force.")
	PlatformRecovered = define(2003, log.InfoLevel, "platform call succeeded again",
		"A call to the platform succeeded after earlier calls failed.")
	OlderRootIgnored = define(2004, log.WarnLevel, "older root ignored",
		"A stale replica or a returning peer presented an older generation; no action is needed.")
	RootConflict = define(2005, log.ErrorLevel, "two roots of one generation",
		"The publisher published two roots of one generation. The one with the greater digest is used; publish the next generation.")
	DefinitionRejected = define(2006, log.WarnLevel, "definition rejected",
		"A published definition failed validation; its last valid version, if there is one, stays in force. Correct and publish it again.")
	ConfigurationNotApplied = define(2007, log.WarnLevel, "configuration not applied",
		"The newest generation could not be applied yet; it is retried.")
	VMListReadFailed = define(2008, log.WarnLevel, "VM list read failed",
		"The platform's list of VMs could not be read; this reader keeps using the last one.")
	VMListEntriesLeftOut = define(2009, log.WarnLevel, "entries of the VM list left out",
		"Some entries of the platform's list of VMs cannot be read; the others are used. Logged once for each version of the list. Contact whoever wrote it.")
)
