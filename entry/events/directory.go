package events

import "github.com/charmbracelet/log"

// Events of the directory.
var (
	DirectoryRefused = define(6001, log.WarnLevel, "directory query refused",
		"A caller queried a service or customer that the configuration in force does not have, or queried while this VM was not ready.")
)
