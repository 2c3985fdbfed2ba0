package events

import "github.com/charmbracelet/log"

// Events of the proxy and the dispatch records.
var (
	RequestRefused = define(5001, log.DebugLevel, "request refused",
		"A request was refused and no target ran it; the reason's counter tells how often.")
	RequestUncertain = define(5002, log.InfoLevel, "request may have run",
		"A request ended without a response and a target may have run it.")
	TargetCrashed = define(5003, log.WarnLevel, "target crashed on a request",
		"A target closed its connection and accepts no new ones; the request's fingerprint is now suspect.")
	ProxyDraining = define(5004, log.InfoLevel, "proxy draining",
		"New callers are sent elsewhere; requests in progress are finished.")
	CallerConnectionFailed = define(5005, log.DebugLevel, "caller connection failed",
		"A caller's connection ended with a protocol error or an error of the caller.")
	RequestPanicked = define(5006, log.ErrorLevel, "request panicked",
		"A bug in the daemon ended one request; others continue. Report it with the cause.")
	FramingRefused = define(5007, log.InfoLevel, "request framing refused",
		"A request names two lengths (two_lengths), or its end can't be found (malformed). It is answered 400 and its connection is closed; address is where it came from. Another request may have been hidden in its body. no_memory: there was no memory for its head; it is answered 503 and has not run.")
	ConnectionsLimited = define(5008, log.WarnLevel, "connections limited",
		"A listener had no room for further connections (limit). closed counts those that it closed to make room, of callers that had done least for the longest, refused the new ones that it closed at once. Logged at most once a second for each listener. Look for callers that hold connections open.")
	ConnectionClosed = define(5009, log.InfoLevel, "connection closed for want of memory",
		"A caller's connection was closed. reason is memory when others needed what it held while it waited for its caller (waited_ms), read_ahead when there was no memory for requests that its caller sent ahead of one in progress.")
)
