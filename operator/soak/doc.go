// Package soak runs the real daemons as separate processes on one machine,
// injects faults from outside the processes, and checks the product's promises
// against what callers and targets observe.
//
// A run has several front-end daemons, each on its own loopback address. The
// store that publishes routes and targets, the targets and the callers run in
// the process of the soak. Links (TCP proxies) connect callers to daemons,
// daemons to the store and daemons to targets; a link can delay or reset
// connections, cut one direction, or stall open connections. A schedule drawn
// from the seed stops, pauses, kills and restarts the daemons by signals,
// disturbs the links, makes targets misbehave, drains targets and publishes new
// routes. Several series of faults run concurrently, so faults overlap. Besides, some
// callers send several lookups in a row before the first is answered. Besides, some
// requests crash each target that begins to run them and are sent again and again
// through any daemon, some with another query, from another address or in another spelling
// each time, and beside them, rarely, sound requests on their paths; a crashed target closes
// its connections or falls silent, and starts anew after a while. Targets also limit their requests, ask for pauses and say that
// they leave in their responses, and the store comes back from copies that are some seconds
// old. The store holds more entries than fit into a message between daemons, discards its history and changes
// entries in bulk; the targets' responses have a header that isn't UTF-8. Some lookups and bookings ask their targets to work for long; at most planned stops several
// of them are in progress at the daemon that stops, and the targets record whether the sender
// leaves while they work. At each planned stop, callers with old directory responses send requests
// whose targets work for nearly the time limit, and rows of lookups, until the daemon's process has
// ended, and the daemon gets further signals. Some callers have keys, of which each version of the routes withdraws one, and send more
// than their customer's limit to random daemons. The checker records every request of a caller and every
// execution at a target, and compares them once the run is over.
//
// A time-bound promise, other than PromiseRecovered, is checked for a daemon only
// if the daemon was undisturbed for StabilityTime before. PromiseRecovered is
// checked once for the whole fleet. The other promises are always checked.
package soak
