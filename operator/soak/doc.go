// Package soak runs the real daemons as separate processes on one machine,
// injects faults from outside of them, and checks the product's promises by what
// callers and targets see.
//
// A run has a few front-end daemons, each on a loopback address of its own. The
// store that publishes routes and targets, the targets and the callers live in
// the soak's own process. Between a daemon and its callers, its store and the
// targets stand links: TCP proxies that delay, reset, cut one way, or silence
// connections. A schedule drawn from the seed stops, pauses, kills and restarts
// the daemons by signals, disturbs the links, makes targets misbehave, drains
// them and publishes new routes; faults come in series and overlap. The judge
// notes every attempt of a caller and every run at a target, and compares them
// once the run is over.
//
// A time-bound promise is held against a daemon only while it was undisturbed
// for the whole of StabilityTime before; the others hold at any time.
package soak
