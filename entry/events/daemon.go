package events

import "github.com/charmbracelet/log"

// Events of the daemon and its supervisor.
var (
	DaemonStarted = define(1001, log.InfoLevel, "daemon started",
		"The instance listens on its configured addresses.")
	DaemonStopping = define(1002, log.InfoLevel, "daemon stopping",
		"A planned stop began; requests in progress are finished.")
	DaemonStopped = define(1003, log.InfoLevel, "daemon stopped",
		"All requests in progress have ended and the listeners are closed.")
	LibraryMessage = define(1005, log.WarnLevel, "library message",
		"A library reported something to the standard logger, such as bytes that a target sent after a complete response; the text is shortened.")
	LogLinesDropped = define(1006, log.WarnLevel, "log lines dropped",
		"More lines were written than the limits allow, or than the output could take; events lists the dropped lines as event number and count.")
	SignalIgnored = define(1007, log.InfoLevel, "signal ignored",
		"A signal arrived during a planned stop, which goes on unchanged; after_ms is the time since the stop began.")
	ChildRestarted = define(1004, log.ErrorLevel, "child restarted",
		"A supervised component failed and is restarted after a back-off.")
)
