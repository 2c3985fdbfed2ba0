// Package generation decides which configuration an instance puts in force,
// whom it hears of it from and how often it asks the platform.
//
// # Order
//
// Published roots are ordered by generation. Two roots of one generation are a
// publisher's mistake; they are ordered by digest, so that all instances end
// with the same one, and the conflict is reported. An instance takes a root
// only when it comes after the one it has: what is in force never goes back,
// whoever offers an older root, a stale replica or a peer that woke late.
//
// # Start
//
// A starting instance asks its peers and the platform. It takes the newest
// root as soon as both have answered, or what it has heard when StartWait has
// passed. An instance that reaches only the platform may thereby begin with an
// older root than the fleet's, if the replica is stale; it moves forward as
// soon as it hears a peer. One that reaches only peers begins with theirs.
//
// # Who asks whom
//
// In each zone a few instances, the readers, hold a watch on the platform. The
// readers are chosen by rendezvous hashing over the instance's own view. The
// other instances of the zone form a tree below the readers, in the same
// ranking: each holds a long poll to its parent, and a second one to a parent
// in the next zone. Readers poll the readers of the neighboring zones. An
// instance with a newer generation in its membership statement is asked
// directly.
//
// # Budget
//
// The settings state the largest number of instances, s. Each instance spends
// platform calls at a rate that follows from s and from the number n of members
// in its view, so that any group of instances that see one another, of any
// size, spends at most 1500 n/s calls a second together. The bound therefore
// holds for the whole fleet in every partition, and also when all instances
// start at once and know nobody. First reads are spread over StartSpread.
package generation
