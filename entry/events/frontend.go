package events

import "github.com/charmbracelet/log"

// Events of an instance whose routes and targets a store publishes.
var (
	FrontendStarted = define(1101, log.InfoLevel, "front-end instance started",
		"The instance listens on its configured addresses.")
	FrontendReady = define(1102, log.InfoLevel, "front-end instance ready",
		"The routes and targets were read; the instance accepts callers.")
	FrontendStopping = define(1103, log.InfoLevel, "front-end instance stopping",
		"A planned stop began: the instance leaves the directory and finishes the requests in progress. late_ms is how much earlier the signal may have been sent, since the process did not run.")
	FrontendStopped = define(1104, log.InfoLevel, "front-end instance stopped",
		"The listeners are closed; requests_cut tells whether requests were still in progress, cut how many. latest_request_ms is the time from the beginning of the stop to the arrival of the latest request.")
	SettingsReloaded = define(1105, log.InfoLevel, "settings reloaded",
		"The settings file was read again; those settings that may change while running are in force.")
	SettingsRefused = define(1106, log.ErrorLevel, "settings refused",
		"The settings file is invalid; the previous settings stay in force.")
	ListenerFailed = define(1107, log.ErrorLevel, "listener failed",
		"A listener failed while the instance was running; its address is no longer served. Restart the instance.")
	FingerprintRefused = define(5104, log.WarnLevel, "request crashes targets",
		"A request crashed several targets, one after the other; it is refused from now on. With any_caller or any_query, it is refused from any caller or with any query.")
	CrashRecorded = define(5106, log.WarnLevel, "target crash recorded",
		"A target went away while it ran the request with this fingerprint, as this VM (empty reporter) or another one saw.")
	SuspectCleared = define(5107, log.InfoLevel, "suspect request cleared",
		"A target answered a request that was suspected of crashing targets, or an operator lifted its quarantine; its crashes no longer count.")
	TargetChecked = define(5108, log.InfoLevel, "target of a lost attempt checked",
		"Attempts at the target ended without a complete response; the finding tells whether it accepts connections, and crashed_on counts the requests on which it crashed or is presumed to have.")
	QuarantineLifted = define(5109, log.WarnLevel, "quarantine lifted",
		"An operator let a request run again that was refused or suspected of crashing targets.")
)
