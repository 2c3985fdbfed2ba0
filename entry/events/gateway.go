package events

import "github.com/charmbracelet/log"

// Events of requests on published routes.
var (
	RequestNotServed = define(5101, log.InfoLevel, "request not served",
		"The request was answered by the instance itself; the reason and the outcome tell why and whether it may have run.")
	AttemptFailed = define(5102, log.InfoLevel, "attempt failed",
		"An attempt did not serve its request; another one may follow.")
	FailurePassedOn = define(5105, log.InfoLevel, "target's failure passed on",
		"The target's own failure is the answer; not_retried tells why no other target was asked.")
	ResponseAborted = define(5103, log.WarnLevel, "answer broken off",
		"An answer could not be passed on whole; the caller's connection is closed so that it does not look whole.")
)
