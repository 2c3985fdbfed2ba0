// Package room decides which requests may take the last slots of a service, or wait for one,
// when the service is short of room.
//
// There is no queue on a VM: an admitted request waits in the queue of a target, where the
// oldest goes first. The decision is therefore made once, at admission, from three facts:
//
//   - The load of the service: attempts in progress of all VMs over the slots of its usable
//     targets. What exceeds 1 waits. All VMs know about the same load.
//   - The arriving work (run time, in slot-seconds) by priority during the last seconds. A VM
//     measures its own arrivals and takes them for a sample of all arrivals.
//   - Each customer's entitlement, in slot-seconds a second: twice the larger of an even share
//     and of its usual use, times the growth of most customers. A token bucket tells which of its
//     requests exceed it.
//
// The load determines the level: the share of the arriving work that is admitted. In a burst it
// is 1 until 2.55 requests wait for each slot and falls to 0 at 3, both less where responses would
// become late. When an overload lasts, both numbers fall to what leaves most responses in time.
// The level depends on the load and on how long it lasts only, so a long overload leaves nothing
// behind that has to be worked off, and VMs that see the same load decide alike.
//
// The arriving work is ordered by urgency, and the part below the level is admitted:
//
//	priority 0        priority 1        ...
//	[within | excess] [within | excess]
//
// Where the level lies inside a band, each customer gets the same share of its requests in that
// band, by a credit that each request adds to. A retry goes before the new requests of its
// priority. Excess of the least urgent priority never waits: it is admitted only while enough
// slots are free, so that a customer that sends far more than usual does not delay the others.
//
// What is usual is learned only while there is room, so that the excess of a long overload does
// not become usual.
//
// Held is a part of its own: it tells whether a target that has refused a request for lack of
// room has a place again.
package room
