// Package breaker decides whether this VM reaches the targets of a service, as a circuit
// breaker for the path to them.
//
// A target that fails is the business of package suspicion. A breaker is about the path:
// this VM reaches no target of the service although they live. Two kinds of observations
// point to that: connections to several targets could not be opened, and none to others
// since; and several targets lost this VM's requests without any response in between,
// although targets of the service have answered other VMs since. The first kind asks for a
// check of some other targets, since several targets may be down at once. So does the second
// kind while requests are only late: they may take long. Attempts that ended without a response
// need no check.
//
// A late request counts only if it began after the latest response. Otherwise a VM that begins
// few requests, or none since it stops, would take its long ones for lost: after a while it has
// no others in progress.
//
// A closed breaker lets all requests pass. An open one lets none pass, but for those on open
// connections while responses keep coming over such connections. Once a connection to any
// target opens, the breaker is half-open: one idempotent request at a time tries the path,
// and a response closes the breaker. Without a request it closes after a while.
//
// The package has no clock and does no input or output. A Breaker is not safe for concurrent
// use; times are the instance's uptime.
package breaker
