package balance

import (
	"maps"
	"slices"
	"time"
)

const (
	// keeperCandidates is the number of VMs that may become keeper, best first.
	keeperCandidates = 3
	// keeperSilence is how long a keeper may leave a message without an answer.
	keeperSilence = 150 * time.Millisecond
	// probeLostInterval is the time between two probes of a candidate that was
	// silent or declined.
	probeLostInterval = 500 * time.Millisecond
	// heartbeatInterval is the time between full messages while slots are held or
	// asked for.
	heartbeatInterval = 250 * time.Millisecond
	// optimisticBusy is the part of the slots in use below which a VM takes a
	// slot first and reports it afterwards.
	optimisticBusy = 0.3
)

// LeaseMessage goes from a VM to the keeper.
type LeaseMessage struct {
	Sequence uint64
	// Echo is the token of the latest reply that the VM has received from this
	// keeper; it proves that the VM hears. Zero when there was none.
	Echo uint64
	// Full means that Asks and Held list all that the VM waits for and holds.
	Full     bool
	Requests []SlotRequest
	Returns  []uint64
	// Shed names targets that turned a request away.
	Shed []string
	// Held lists leases taken without the keeper, or from an earlier one.
	Held []HeldLease
}

// HeldLease is a slot in use by a VM.
type HeldLease struct {
	ID     uint64
	Target string
}

// LeaseReply goes from the keeper to a VM.
type LeaseReply struct {
	// Sequence is that of the message answered; zero for grants made later.
	Sequence uint64
	// Token is the keeper's time of the reply, to be echoed.
	Token uint64
	// Resync asks the VM to tell its asks and leases again, because the message
	// answered came without a recent echo and was not applied.
	Resync bool
	// IsLessor is false when the receiver does not regard itself as keeper.
	IsLessor bool
	// Open is true once the leases of an earlier keeper have ended.
	Open bool
	// BusyShare is the part of the usable slots that is leased.
	BusyShare float64
	Grants    []LeaseGrant
}

// Lessee is a VM's side of the leases of one service. It asks the keeper for
// slots, returns them, and tells when the VM is to choose targets by itself:
// while no keeper answers, while a new keeper waits out earlier leases, and
// while few slots are in use.
type Lessee struct {
	vm    string
	order []string
	// lost holds candidates that are not known to answer.
	lost map[string]probe
	// tokens holds the latest token of each candidate.
	tokens map[string]uint64
	keeper string
	open   bool
	busy   float64

	asked map[uint64]SlotRequest
	held  map[uint64]string

	asks    []SlotRequest
	returns []uint64
	shed    []string
	took    []HeldLease
	// sequence, unanswered and lastSent follow the messages to the keeper.
	sequence   uint64
	sent       uint64
	unanswered time.Time
	lastFull   time.Time
	lastHeard  time.Time
}

// probe is a question to a candidate that is not known to answer.
type probe struct {
	sequence uint64
	next     time.Time
}

// NewLessee returns a lessee that knows no keeper yet.
func NewLessee(vm string) *Lessee {
	return &Lessee{
		vm: vm, lost: make(map[string]probe), tokens: make(map[string]uint64),
		asked: make(map[uint64]SlotRequest), held: make(map[uint64]string),
	}
}

// Configure sets the candidates for keeper, best first. A new candidate is
// asked only after it has answered a probe.
func (l *Lessee) Configure(order []string) {
	order = order[:min(len(order), keeperCandidates)]
	if slices.Equal(l.order, order) {
		return
	}
	for _, candidate := range order {
		if candidate != l.vm && !slices.Contains(l.order, candidate) {
			l.lost[candidate] = probe{}
		}
	}
	l.order = slices.Clone(order)
	gone := func(vm string) bool { return !slices.Contains(order, vm) }
	maps.DeleteFunc(l.lost, func(vm string, _ probe) bool { return gone(vm) })
	maps.DeleteFunc(l.tokens, func(vm string, _ uint64) bool { return gone(vm) })
	l.elect()
}

// Lessor returns the VM that is asked for slots; empty when there is none.
func (l *Lessee) Lessor() string { return l.keeper }

// IsLessor reports whether this VM regards itself as keeper.
func (l *Lessee) IsLessor() bool { return l.keeper == l.vm }

// ChoosesLocally reports whether the VM is to choose targets by itself.
func (l *Lessee) ChoosesLocally() bool { return l.keeper == "" || !l.open }

// Optimistic reports whether the VM may take a slot first and report it later.
// One slot at a time is taken so, until the keeper has answered, and none while
// another request of the VM waits.
func (l *Lessee) Optimistic(now time.Time) bool {
	unreported := !l.unanswered.IsZero() || len(l.took) > 0 || len(l.asked) > 0
	current := !unreported && now.Sub(l.lastHeard) < LeaseTerm
	return !l.ChoosesLocally() && current && l.busy < optimisticBusy
}

// Request requests a slot.
func (l *Lessee) Request(ask SlotRequest) {
	ask.VM = l.vm
	l.asked[ask.ID] = ask
	l.asks = append(l.asks, ask)
}

// ReportTaken reports a slot that was taken without asking; a pending ask for the
// same request is withdrawn.
func (l *Lessee) ReportTaken(id uint64, target string) {
	if _, ok := l.asked[id]; ok {
		delete(l.asked, id)
		l.asks = slices.DeleteFunc(l.asks, func(a SlotRequest) bool { return a.ID == id })
	}
	l.held[id] = target
	l.took = append(l.took, HeldLease{ID: id, Target: target})
}

// ReportShed reports that a target turned a request away.
func (l *Lessee) ReportShed(target string) { l.shed = append(l.shed, target) }

// Finish withdraws an ask or returns a slot.
func (l *Lessee) Finish(id uint64) {
	_, asked := l.asked[id]
	_, held := l.held[id]
	if !asked && !held {
		return
	}
	delete(l.asked, id)
	delete(l.held, id)
	l.asks = slices.DeleteFunc(l.asks, func(a SlotRequest) bool { return a.ID == id })
	l.took = slices.DeleteFunc(l.took, func(h HeldLease) bool { return h.ID == id })
	l.returns = append(l.returns, id)
}

// LeaseEnvelope is a message and the VM that it is for.
type LeaseEnvelope struct {
	To      string
	Message LeaseMessage
}

// Outbox returns the messages to send now: to the keeper, and to lost
// candidates, to learn whether they are back.
func (l *Lessee) Outbox(now time.Time) []LeaseEnvelope {
	var out []LeaseEnvelope
	if message, ok := l.message(now); ok {
		out = append(out, LeaseEnvelope{To: l.keeper, Message: message})
	}
	for _, candidate := range l.order {
		pending, lost := l.lost[candidate]
		if lost && !now.Before(pending.next) {
			l.sequence++
			l.lost[candidate] = probe{sequence: l.sequence, next: now.Add(probeLostInterval)}
			out = append(out, LeaseEnvelope{To: candidate, Message: LeaseMessage{Sequence: l.sequence}})
		}
	}
	return out
}

func (l *Lessee) message(now time.Time) (LeaseMessage, bool) {
	if l.keeper == "" {
		l.asks, l.returns, l.took, l.shed = nil, nil, nil, nil
		return LeaseMessage{}, false
	}
	silent := len(l.asks)+len(l.returns)+len(l.took) == 0
	inactive := l.open && len(l.asked)+len(l.held) == 0
	full := !inactive && now.Sub(l.lastFull) >= heartbeatInterval
	if silent && !full {
		return LeaseMessage{}, false
	}
	if full {
		l.repeat()
		l.lastFull = now
	}
	l.sequence++
	l.sent = l.sequence
	message := LeaseMessage{
		Sequence: l.sequence, Echo: l.tokens[l.keeper], Full: full,
		Requests: l.asks, Returns: l.returns, Held: l.took, Shed: l.shed,
	}
	l.asks, l.returns, l.took, l.shed = nil, nil, nil, nil
	if l.unanswered.IsZero() {
		l.unanswered = now
	}
	return message, true
}

// Receive takes a reply and returns the grants of requests that still wait.
func (l *Lessee) Receive(now time.Time, from string, reply LeaseReply) []LeaseGrant {
	if !reply.IsLessor {
		l.lose(now, from)
		return nil
	}
	pending, lost := l.lost[from]
	if lost && (pending.sequence == 0 || pending.sequence != reply.Sequence) {
		return nil
	}
	delete(l.lost, from)
	l.tokens[from] = reply.Token
	l.elect()
	if from != l.keeper {
		return nil
	}
	l.lastHeard, l.open, l.busy = now, reply.Open, reply.BusyShare
	if reply.Resync && reply.Sequence == l.sent {
		l.repeat()
	}
	if reply.Sequence == l.sent {
		l.unanswered = time.Time{}
	} else if reply.Sequence > 0 && !l.unanswered.IsZero() {
		l.unanswered = now
	}
	var granted []LeaseGrant
	for _, grant := range reply.Grants {
		if l.held[grant.ID] == grant.Target {
			continue
		}
		if _, ok := l.asked[grant.ID]; !ok {
			l.returns = append(l.returns, grant.ID)
			continue
		}
		delete(l.asked, grant.ID)
		l.held[grant.ID] = grant.Target
		granted = append(granted, grant)
	}
	return granted
}

// Tick notices a silent keeper and the end of this VM's own silence.
func (l *Lessee) Tick(now time.Time) {
	if !l.unanswered.IsZero() && now.Sub(l.unanswered) >= keeperSilence {
		l.lose(now, l.keeper)
		return
	}
	if !l.lastHeard.IsZero() && now.Sub(l.lastHeard) >= LeaseTerm {
		l.lastHeard = now
		l.repeat()
	}
}

// lose turns to another candidate than the given one until it answers again.
func (l *Lessee) lose(now time.Time, candidate string) {
	if candidate == l.vm || !slices.Contains(l.order, candidate) {
		return
	}
	if _, lost := l.lost[candidate]; !lost {
		l.lost[candidate] = probe{next: now.Add(probeLostInterval)}
		delete(l.tokens, candidate)
	}
	l.elect()
}

// elect takes the first candidate that is not lost.
func (l *Lessee) elect() {
	best := ""
	for _, candidate := range l.order {
		if _, lost := l.lost[candidate]; !lost {
			best = candidate
			break
		}
	}
	if best == l.keeper {
		return
	}
	l.keeper, l.open, l.busy = best, false, 1
	l.unanswered, l.lastHeard = time.Time{}, time.Time{}
	l.repeat()
}

// repeat tells the keeper all asks and leases anew.
func (l *Lessee) repeat() {
	l.asks, l.took = nil, nil
	for _, id := range slices.Sorted(maps.Keys(l.asked)) {
		l.asks = append(l.asks, l.asked[id])
	}
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		l.took = append(l.took, HeldLease{ID: id, Target: l.held[id]})
	}
}
