// Package membership keeps one instance's view of the fleet.
//
// # Model
//
// A State is a pure state machine. The caller passes the time and what was
// heard from other instances; the State hands out Actions (pings, indirect
// pings, joins) and Events (what changed). It does no I/O and reads no clock.
//
// # Overlay
//
// The members are ordered on several rings by hashes of their names. Each
// instance probes its successor on each ring, so an instance has a constant
// number of probers and of open connections, whatever the size of the fleet.
// Status changes are pushed at once to successors and predecessors, which push
// them on; everything else rides on the probes. A neighbor is sent a statement
// once, and not when it has sent it itself. Statements about a process that is
// known leave out its addresses and place.
//
// # Detection
//
// A probe that fails is repeated in rounds, each over a new connection and by
// several relays. When no round gets through, the prober raises a suspicion.
// A suspected member leaves the directory's answers at once. It refutes the
// suspicion by a higher incarnation; otherwise it is dead when the suspicion
// times out. A prober that got no answer from anyone tells nobody: it marks
// the member unreachable for itself only.
//
// # Order of statements
//
// Statements about a VM are ordered by incarnation, then by status (alive,
// suspect, leaving, dead), then by refresh. Only the member itself raises its
// incarnation, and it does so only when it hears a statement against it. A
// member that is heard but cannot hear is therefore not readmitted. A member
// that is suspected repeatedly is held out of the answers for a growing time.
// A new process of a VM takes a higher incarnation than the old one's; the
// younger process wins.
//
// # Partitions
//
// Each side goes on with its own members and keeps tombstones of the others.
// It tries a tombstone's address from time to time. When two sides meet, they
// exchange their lists; a member that one side sees alive and the other dead is
// challenged, and stays offered while it refutes.
package membership
