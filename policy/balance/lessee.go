package balance

import (
	"maps"
	"slices"
	"time"
)

const (
	// lessorCandidates is the number of VMs that may become lessor.
	lessorCandidates = 3
	// lessorTimeout is how long a lessor may leave a message without a reply.
	lessorTimeout = 150 * time.Millisecond
	// probeInterval is the time between two probes of a candidate that was
	// silent or declined.
	probeInterval = 500 * time.Millisecond
	// heartbeatInterval is the time between full messages while slots are held or
	// requested.
	heartbeatInterval = 250 * time.Millisecond
	// optimisticBusyShare is the fraction of slots in use below which a VM takes a
	// slot first and reports it afterwards.
	optimisticBusyShare = 0.3
)

// LeaseMessage is a message from a VM to the lessor.
type LeaseMessage struct {
	Sequence uint64
	// Echo is the token of the latest reply that the VM has received from this
	// lessor, zero when there was none. It proves that replies reach the VM.
	Echo uint64
	// Full means that Requests and Held list all requests and leases of the VM.
	Full     bool
	Requests []SlotRequest
	Returns  []uint64
	// Shed names targets that shed a request.
	Shed []string
	// Held lists slots in use that the lessor may not know of: taken without it
	// or leased from an earlier lessor.
	Held []HeldLease
}

// HeldLease is a slot in use by a VM.
type HeldLease struct {
	ID     uint64
	Target string
}

// LeaseReply is a message from the lessor to a VM.
type LeaseReply struct {
	// Sequence is the sequence number of the message that this reply is for; zero
	// for grants made later.
	Sequence uint64
	// Token is the lessor's time of the reply, which the VM echoes.
	Token uint64
	// Resync requests that the VM send all its requests and leases again, because
	// its message came without a recent echo and was not applied.
	Resync bool
	// IsLessor is false when the replying VM does not regard itself as lessor.
	IsLessor bool
	// Open is true once all leases of an earlier lessor have expired.
	Open bool
	// BusyShare is the fraction of the usable slots that is leased.
	BusyShare float64
	Grants    []LeaseGrant
}

// Lessee is a VM's side of the leases of one service. It requests slots from the
// lessor and returns them. It also reports when the VM chooses targets by itself:
// while no lessor responds, while a new lessor waits for earlier leases to
// expire, and while few slots are in use.
type Lessee struct {
	vm         string
	candidates []string
	// unconfirmed holds the candidates that are not known to respond.
	unconfirmed map[string]probe
	// tokens holds the latest token of each candidate.
	tokens    map[string]uint64
	lessor    string
	open      bool
	busyShare float64

	requested map[uint64]SlotRequest
	held      map[uint64]string

	newRequests []SlotRequest
	returns     []uint64
	shed        []string
	// leasesToReport holds the held leases to list in the next message.
	leasesToReport []HeldLease
	// sequence numbers all messages; lastSent is the sequence number of the latest
	// message to the lessor.
	sequence uint64
	lastSent uint64
	// unansweredSince is zero when the lessor has replied to the latest message.
	unansweredSince time.Time
	lastFullSent    time.Time
	lastReceived    time.Time
}

// probe is the latest message to a candidate that is not known to respond.
type probe struct {
	sequence uint64
	next     time.Time
}

// NewLessee returns a lessee that knows no lessor yet.
func NewLessee(vm string) *Lessee {
	return &Lessee{
		vm: vm, unconfirmed: make(map[string]probe), tokens: make(map[string]uint64),
		requested: make(map[uint64]SlotRequest), held: make(map[uint64]string),
	}
}

// Configure sets the candidates for lessor, best first. A new candidate becomes
// lessor only after it has responded to a probe.
func (l *Lessee) Configure(candidates []string) {
	candidates = candidates[:min(len(candidates), lessorCandidates)]
	if slices.Equal(l.candidates, candidates) {
		return
	}
	for _, candidate := range candidates {
		if candidate != l.vm && !slices.Contains(l.candidates, candidate) {
			l.unconfirmed[candidate] = probe{}
		}
	}
	l.candidates = slices.Clone(candidates)
	gone := func(vm string) bool { return !slices.Contains(candidates, vm) }
	maps.DeleteFunc(l.unconfirmed, func(vm string, _ probe) bool { return gone(vm) })
	maps.DeleteFunc(l.tokens, func(vm string, _ uint64) bool { return gone(vm) })
	l.selectLessor()
}

// Lessor returns the VM from which slots are requested; empty when there is none.
func (l *Lessee) Lessor() string { return l.lessor }

// IsLessor reports whether this VM regards itself as lessor.
func (l *Lessee) IsLessor() bool { return l.lessor == l.vm }

// ChoosesLocally reports whether the VM chooses targets without a lessor.
func (l *Lessee) ChoosesLocally() bool { return l.lessor == "" || !l.open }

// Optimistic reports whether the VM may take a slot first and report it later.
// It may take one such slot until the lessor has replied, and none while another
// request of the VM waits.
func (l *Lessee) Optimistic(now time.Time) bool {
	unreported := !l.unansweredSince.IsZero() || len(l.leasesToReport) > 0 || len(l.requested) > 0
	current := !unreported && now.Sub(l.lastReceived) < LeaseTerm
	return !l.ChoosesLocally() && current && l.busyShare < optimisticBusyShare
}

// Request requests a slot.
func (l *Lessee) Request(request SlotRequest) {
	request.VM = l.vm
	l.requested[request.ID] = request
	l.newRequests = append(l.newRequests, request)
}

// ReportTaken reports a slot that the VM took without a grant. It withdraws the
// slot request for the same ID.
func (l *Lessee) ReportTaken(id uint64, target string) {
	if _, ok := l.requested[id]; ok {
		delete(l.requested, id)
		l.newRequests = slices.DeleteFunc(l.newRequests, func(a SlotRequest) bool { return a.ID == id })
	}
	l.held[id] = target
	l.leasesToReport = append(l.leasesToReport, HeldLease{ID: id, Target: target})
}

// ReportShed reports that a target shed a request.
func (l *Lessee) ReportShed(target string) { l.shed = append(l.shed, target) }

// Finish withdraws a slot request or returns its slot.
func (l *Lessee) Finish(id uint64) {
	_, waiting := l.requested[id]
	_, held := l.held[id]
	if !waiting && !held {
		return
	}
	delete(l.requested, id)
	delete(l.held, id)
	l.newRequests = slices.DeleteFunc(l.newRequests, func(a SlotRequest) bool { return a.ID == id })
	l.leasesToReport = slices.DeleteFunc(l.leasesToReport, func(h HeldLease) bool { return h.ID == id })
	l.returns = append(l.returns, id)
}

// LeaseEnvelope is a message and its destination.
type LeaseEnvelope struct {
	To      string
	Message LeaseMessage
}

// Outbox returns the messages to send now: one to the lessor, and probes to
// unconfirmed candidates.
func (l *Lessee) Outbox(now time.Time) []LeaseEnvelope {
	var out []LeaseEnvelope
	if message, ok := l.nextMessage(now); ok {
		out = append(out, LeaseEnvelope{To: l.lessor, Message: message})
	}
	for _, candidate := range l.candidates {
		probing, unconfirmed := l.unconfirmed[candidate]
		if unconfirmed && !now.Before(probing.next) {
			l.sequence++
			l.unconfirmed[candidate] = probe{sequence: l.sequence, next: now.Add(probeInterval)}
			out = append(out, LeaseEnvelope{To: candidate, Message: LeaseMessage{Sequence: l.sequence}})
		}
	}
	return out
}

func (l *Lessee) nextMessage(now time.Time) (LeaseMessage, bool) {
	if l.lessor == "" {
		l.newRequests, l.returns, l.leasesToReport, l.shed = nil, nil, nil, nil
		return LeaseMessage{}, false
	}
	nothingNew := len(l.newRequests)+len(l.returns)+len(l.leasesToReport) == 0
	idle := l.open && len(l.requested)+len(l.held) == 0
	full := !idle && now.Sub(l.lastFullSent) >= heartbeatInterval
	if nothingNew && !full {
		return LeaseMessage{}, false
	}
	if full {
		l.resendAll()
		l.lastFullSent = now
	}
	l.sequence++
	l.lastSent = l.sequence
	message := LeaseMessage{
		Sequence: l.sequence, Echo: l.tokens[l.lessor], Full: full,
		Requests: l.newRequests, Returns: l.returns, Held: l.leasesToReport, Shed: l.shed,
	}
	l.newRequests, l.returns, l.leasesToReport, l.shed = nil, nil, nil, nil
	if l.unansweredSince.IsZero() {
		l.unansweredSince = now
	}
	return message, true
}

// Receive applies a reply and returns the new grants for requests that still
// wait. The slots of other grants are returned.
func (l *Lessee) Receive(now time.Time, from string, reply LeaseReply) []LeaseGrant {
	if !reply.IsLessor {
		l.markUnconfirmed(now, from)
		return nil
	}
	probing, unconfirmed := l.unconfirmed[from]
	if unconfirmed && (probing.sequence == 0 || probing.sequence != reply.Sequence) {
		return nil
	}
	delete(l.unconfirmed, from)
	l.tokens[from] = reply.Token
	l.selectLessor()
	if from != l.lessor {
		return nil
	}
	l.lastReceived, l.open, l.busyShare = now, reply.Open, reply.BusyShare
	if reply.Resync && reply.Sequence == l.lastSent {
		l.resendAll()
	}
	if reply.Sequence == l.lastSent {
		l.unansweredSince = time.Time{}
	} else if reply.Sequence > 0 && !l.unansweredSince.IsZero() {
		l.unansweredSince = now
	}
	var granted []LeaseGrant
	for _, grant := range reply.Grants {
		if l.held[grant.ID] == grant.Target {
			continue
		}
		if _, ok := l.requested[grant.ID]; !ok {
			l.returns = append(l.returns, grant.ID)
			continue
		}
		delete(l.requested, grant.ID)
		l.held[grant.ID] = grant.Target
		granted = append(granted, grant)
	}
	return granted
}

// Tick stops using a lessor that has not replied within lessorTimeout. When no
// reply came for LeaseTerm for another reason, such as a pause of this process,
// the VM's leases may have expired and are sent again.
func (l *Lessee) Tick(now time.Time) {
	if !l.unansweredSince.IsZero() && now.Sub(l.unansweredSince) >= lessorTimeout {
		l.markUnconfirmed(now, l.lessor)
		return
	}
	if !l.lastReceived.IsZero() && now.Sub(l.lastReceived) >= LeaseTerm {
		l.lastReceived = now
		l.resendAll()
	}
}

// markUnconfirmed stops using a candidate as lessor until it responds to a probe.
func (l *Lessee) markUnconfirmed(now time.Time, candidate string) {
	if candidate == l.vm || !slices.Contains(l.candidates, candidate) {
		return
	}
	if _, unconfirmed := l.unconfirmed[candidate]; !unconfirmed {
		l.unconfirmed[candidate] = probe{next: now.Add(probeInterval)}
		delete(l.tokens, candidate)
	}
	l.selectLessor()
}

// selectLessor selects the first candidate that is not unconfirmed.
func (l *Lessee) selectLessor() {
	best := ""
	for _, candidate := range l.candidates {
		if _, unconfirmed := l.unconfirmed[candidate]; !unconfirmed {
			best = candidate
			break
		}
	}
	if best == l.lessor {
		return
	}
	l.lessor, l.open, l.busyShare = best, false, 1
	l.unansweredSince, l.lastReceived = time.Time{}, time.Time{}
	l.resendAll()
}

// resendAll queues all requests and leases to be sent to the lessor again.
func (l *Lessee) resendAll() {
	l.newRequests, l.leasesToReport = nil, nil
	for _, id := range slices.Sorted(maps.Keys(l.requested)) {
		l.newRequests = append(l.newRequests, l.requested[id])
	}
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		l.leasesToReport = append(l.leasesToReport, HeldLease{ID: id, Target: l.held[id]})
	}
}
