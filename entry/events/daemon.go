package events

import "github.com/charmbracelet/log"

// Events of the daemon and its supervisor.
var (
	DaemonStarted = define(1001, log.InfoLevel, "daemon started",
		"The instance listens on the addresses given.")
	DaemonStopping = define(1002, log.InfoLevel, "daemon stopping",
		"A planned stop began; requests in progress are finished.")
	DaemonStopped = define(1003, log.InfoLevel, "daemon stopped",
		"All requests in progress have ended and the listeners are closed.")
	ChildRestarted = define(1004, log.ErrorLevel, "child restarted",
		"A child of the supervisor failed and is started again after a back-off.")
)
