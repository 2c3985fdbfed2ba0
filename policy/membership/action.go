package membership

import "time"

// ActionKind tells what an Action asks for.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionPing pings To; a Fresh one opens a new connection.
	ActionPing ActionKind = iota + 1
	// ActionPingIndirect asks To to ping Target.
	ActionPingIndirect
	// ActionJoin exchanges the whole member list with the instance at Address.
	ActionJoin
)

// Action is something that the caller does on the State's behalf.
type Action struct {
	Kind ActionKind
	// Probe is passed back with the result; zero when the result decides nothing.
	Probe         uint64
	To            Member
	Target        Member
	Address       string
	NewConnection bool
	Timeout       time.Duration
	Message       Message
}

// Message is what a ping and its answer carry besides the sender.
type Message struct {
	From Member
	// Digest sums up the sender's view.
	Digest  uint64
	Updates []Member
}

// Result is the end of a ping or an indirect ping.
type Result struct {
	Probe uint64
	// Reached is true when the probed member answered.
	Reached bool
	// AnyResponse is true when any instance answered, also when a relay did not
	// reach the target.
	AnyResponse bool
	// Response is the answer of a direct ping that reached its member.
	Response *Message
}

// EventKind tells what changed in the view.
type EventKind string

// The kinds of events.
const (
	EventJoined      EventKind = "joined"
	EventRestarted   EventKind = "restarted"
	EventSuspected   EventKind = "suspected"
	EventRefuted     EventKind = "refuted"
	EventUnreachable EventKind = "unreachable"
	EventLeaving     EventKind = "leaving"
	EventDead        EventKind = "dead"
	EventHeldDown    EventKind = "held_down"
	// EventSelfRefuted tells that this instance refuted a statement against it.
	EventSelfRefuted EventKind = "self_refuted"
	// EventSuperseded tells that a younger process of this VM exists.
	EventSuperseded EventKind = "superseded"
	// EventTableFull tells that an unknown member was refused.
	EventTableFull EventKind = "table_full"
)

// Event is one change of the view.
type Event struct {
	Kind EventKind
	VM   string
	// RaisedHere is true when this instance raised the suspicion.
	RaisedHere bool
}

// View is a member as this instance sees it.
type View struct {
	Member
	// Advertised is true when the directory may name the member.
	Advertised bool
}
