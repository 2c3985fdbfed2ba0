// Package generation decides which configuration an instance puts in force, which
// instances it receives it from and how often it reads the platform.
//
// # Order
//
// Published roots are ordered by generation. Two roots of one generation are a
// publisher's mistake; they are ordered by digest, so that all instances converge
// to the same one, and the conflict is reported. An instance accepts a root only
// when it comes after the one it has, so the root in force never goes back, even
// when a stale replica or a peer that was paused offers an older one.
//
// # Start
//
// A starting instance queries its peers and the platform. It puts the newest root
// in force as soon as both have responded, or the newest one received when
// StartWait has passed. An instance that reaches only the platform may therefore
// start with an older root than the fleet's, if the replica is stale; it catches
// up when it reaches a peer. One that reaches only peers starts with their root.
//
// # Distribution
//
// In each zone a few instances, the readers, hold a watch on the platform. The
// readers are chosen by rendezvous hashing over the instance's own view. The
// other instances of the zone form a tree below the readers, in the same
// ranking: each holds a long poll to its parent, and a second one to a parent
// in the next zone. Readers poll the readers of the neighboring zones. An
// instance whose membership statement shows a newer generation is queried
// directly.
//
// # Budget
//
// The settings state the maximum number of instances, s. Each instance makes
// platform calls at a rate derived from s and from the number n of members in its
// view, so that any group of instances that see one another makes at most
// 1500 * n / s calls per second in total. The bound of 1500 calls per second
// therefore holds for the whole fleet in every partition, and also when all
// instances start at once without knowing one another. First reads are spread
// over StartSpread.
package generation
