// Package membership keeps one instance's view of the fleet.
//
// # Model
//
// A State is a pure state machine. The caller passes in the time and the messages
// received from other instances; the State returns Actions (pings, indirect
// pings, joins) and Events (what changed). It does no I/O and reads no clock.
//
// # Overlay
//
// The members are ordered on several rings by hashes of their names. Each
// instance probes its successor on each ring, so an instance has a constant
// number of probers and of open connections, whatever the size of the fleet.
// Status changes are pushed at once to successors and predecessors, which pass
// them on; all other statements are piggybacked on the probes. A statement is
// sent to a neighbor once, and not at all when the neighbor has sent it itself.
// Statements about a known process omit its addresses, region and zone.
//
// # Detection
//
// A failed probe is retried in rounds, each over a new connection and through
// several relays. When no round succeeds, the prober raises a suspicion.
// A suspected member is removed from the directory's responses at once. It can
// refute the suspicion with a higher incarnation; otherwise it is declared dead
// when the suspicion times out. A prober that got no response from any instance
// announces nothing: it marks the member unreachable in its own view only.
//
// # Order of statements
//
// Statements about a VM are ordered by incarnation, then by status (alive,
// suspect, leaving, dead), then by refresh. Only the member itself raises its
// incarnation, and only when it leaves or when it receives a statement that
// contradicts its own. A member that can send but not receive is therefore not
// readmitted. A member that is suspected repeatedly is held down: left out of
// the directory's responses for a growing time. A new process of a VM takes a
// higher incarnation than the old process; the newer process wins.
//
// # Partitions
//
// Each side of a partition continues with its own members and keeps tombstones
// of the others. From time to time it tries to join the address of a tombstone.
// When two sides connect again, they exchange their lists. A member that one
// side sees alive and the other dead is challenged, and stays advertised while
// it has time to refute.
package membership
