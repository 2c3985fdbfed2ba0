package events

import "github.com/charmbracelet/log"

// Events of requests on published routes.
var (
	RequestNotServed = define(5101, log.InfoLevel, "request not served",
		"The instance itself responded to the request; the reason and the outcome tell why and whether it may have run. The hashes of resource and query tell requests apart.")
	AttemptFailed = define(5102, log.InfoLevel, "attempt failed",
		"An attempt failed to serve its request; the request may be retried. The hashes of resource and query tell requests apart.")
	FailurePassedOn = define(5105, log.InfoLevel, "target's failure passed on",
		"The caller received the target's own failure response; not_retried tells why no other target was tried.")
	ResponseAborted = define(5103, log.WarnLevel, "response aborted",
		"A response could not be passed on completely; the caller's connection is closed so that the response does not look complete.")
	SlowCallerEnded = define(5112, log.InfoLevel, "slow caller ended",
		"A caller read nothing of its response for 10 s, or for its own time limit if that is longer; its connection is closed and the attempt, if still in progress, is ended. Only with machine.memory_mb set.")
	RequestForwarded = define(5110, log.InfoLevel, "request forwarded",
		"This VM reaches no target of the service, or cannot show that its keys are current, and forwarded the request to another VM; refused tells why that one did not serve it.")
	CustomerLimited = define(5130, log.InfoLevel, "customer limited",
		"The requests of a customer have reached its rate limit of all VMs together; those above it are refused with status 429. Logged again only after 10 s without a refusal.")
	ForwardedNotServed = define(5111, log.InfoLevel, "forwarded request not served",
		"This VM refused a request that another VM forwarded; that VM tries another one or responds to the caller.")
	RequestCut = define(5113, log.WarnLevel, "request cut by a stop",
		"The grace period of a planned stop ended while the request was in progress; its caller's connection ends without a response. at names the VM or the target that had it, arrived_after_ms is the time from the beginning of the stop to its arrival.")
	CallerGoneAtStop = define(5114, log.InfoLevel, "caller gone during a stop",
		"While the instance was stopping, the connection of a request's caller ended, and with it the request; the cause tells how that was noticed.")
	HedgeWon = define(5120, log.DebugLevel, "second attempt won",
		"An idempotent request was slow at its first target; its second attempt responded first, and the first one was cancelled.")
)
