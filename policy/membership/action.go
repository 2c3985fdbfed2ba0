package membership

import "time"

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionPing pings To, over a new connection when NewConnection is set.
	ActionPing ActionKind = iota + 1
	// ActionPingIndirect asks To to ping Target.
	ActionPingIndirect
	// ActionJoin exchanges complete member lists with the instance at Address.
	ActionJoin
)

// Action is a network operation that the caller performs on the State's behalf.
type Action struct {
	Kind ActionKind
	// Probe is passed back with the result; zero when the ping belongs to no probe.
	Probe         uint64
	To            Member
	Target        Member
	Address       string
	NewConnection bool
	Timeout       time.Duration
	Message       Message
}

// Message is the content of a ping or of the response to it.
type Message struct {
	From Member
	// Digest is a hash of the sender's view.
	Digest  uint64
	Updates []Member
}

// Result is the result of a ping or an indirect ping.
type Result struct {
	Probe uint64
	// Reached is true when the probed member responded.
	Reached bool
	// AnyResponse is true when any instance responded, including a relay that could
	// not reach the target.
	AnyResponse bool
	// Response is the response to a direct ping that reached its member.
	Response *Message
}

// EventKind is the kind of a change of the view.
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
	// EventSelfRefuted reports that this instance refuted a statement that
	// contradicts its own.
	EventSelfRefuted EventKind = "self_refuted"
	// EventSuperseded reports that a newer process of this VM exists.
	EventSuperseded EventKind = "superseded"
	// EventTableFull reports that an unknown member was refused.
	EventTableFull EventKind = "table_full"
)

// Event is one change of the view.
type Event struct {
	Kind EventKind
	VM   string
	// RaisedHere is true when this instance itself raised the suspicion.
	RaisedHere bool
}

// View is a member as this instance sees it.
type View struct {
	Member
	// Advertised is true when the directory may include the member in its responses.
	Advertised bool
}
