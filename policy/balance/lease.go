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
	// silentFor is how long a silent or unwilling keeper is not asked again.
	silentFor = 500 * time.Millisecond
	// heartbeatInterval is the longest time between messages while leases are held.
	heartbeatInterval = 250 * time.Millisecond
	// optimisticBusy is the part of the slots in use below which a VM takes a
	// slot first and reports it afterwards.
	optimisticBusy = 0.3
)

// LeaseMessage goes from a VM to the keeper.
type LeaseMessage struct {
	Sequence uint64
	Asks     []Ask
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
	// Keeper is false when the receiver does not regard itself as keeper.
	Keeper bool
	// Open is true once the leases of an earlier keeper have ended.
	Open bool
	// Busy is the part of the usable slots that is leased.
	Busy   float64
	Grants []Grant
}

// Lessee is a VM's side of the leases of one service. It asks the keeper for
// slots, returns them, and tells when the VM is to choose targets by itself:
// while no keeper answers, while a new keeper waits out earlier leases, and
// while few slots are in use.
type Lessee struct {
	vm     string
	order  []string
	silent map[string]time.Time
	keeper string
	open   bool
	busy   float64

	asked map[uint64]Ask
	held  map[uint64]string

	asks    []Ask
	returns []uint64
	shed    []string
	took    []HeldLease
	// sequence, unanswered and lastSent follow the messages to the keeper.
	sequence   uint64
	unanswered time.Time
	lastSent   time.Time
	lastHeard  time.Time
}

// NewLessee returns a lessee that knows no keeper yet.
func NewLessee(vm string) *Lessee {
	return &Lessee{
		vm: vm, silent: make(map[string]time.Time),
		asked: make(map[uint64]Ask), held: make(map[uint64]string),
	}
}

// Configure sets the candidates for keeper, best first.
func (l *Lessee) Configure(now time.Time, order []string) {
	l.order = slices.Clone(order[:min(len(order), keeperCandidates)])
	l.elect(now)
}

// Keeper returns the VM that is asked for slots; empty when there is none.
func (l *Lessee) Keeper() string { return l.keeper }

// IsKeeper reports whether this VM regards itself as keeper.
func (l *Lessee) IsKeeper() bool { return l.keeper == l.vm }

// Local reports whether the VM is to choose targets by itself.
func (l *Lessee) Local() bool { return l.keeper == "" || !l.open }

// Optimistic reports whether the VM may take a slot first and report it later.
func (l *Lessee) Optimistic(now time.Time) bool {
	return !l.Local() && l.busy < optimisticBusy && now.Sub(l.lastHeard) < LeaseTerm
}

// Ask requests a slot.
func (l *Lessee) Ask(ask Ask) {
	ask.VM = l.vm
	l.asked[ask.ID] = ask
	l.asks = append(l.asks, ask)
}

// Took reports a slot that was taken without asking; a pending ask for the
// same request is withdrawn.
func (l *Lessee) Took(id uint64, target string) {
	if _, ok := l.asked[id]; ok {
		delete(l.asked, id)
		l.asks = slices.DeleteFunc(l.asks, func(a Ask) bool { return a.ID == id })
	}
	l.held[id] = target
	l.took = append(l.took, HeldLease{ID: id, Target: target})
}

// Shed reports that a target turned a request away.
func (l *Lessee) Shed(target string) { l.shed = append(l.shed, target) }

// Finish withdraws an ask or returns a slot.
func (l *Lessee) Finish(id uint64) {
	_, asked := l.asked[id]
	_, held := l.held[id]
	if !asked && !held {
		return
	}
	delete(l.asked, id)
	delete(l.held, id)
	l.asks = slices.DeleteFunc(l.asks, func(a Ask) bool { return a.ID == id })
	l.took = slices.DeleteFunc(l.took, func(h HeldLease) bool { return h.ID == id })
	l.returns = append(l.returns, id)
}

// Outbox returns the message to send to the keeper now, if any.
func (l *Lessee) Outbox(now time.Time) (LeaseMessage, bool) {
	if l.keeper == "" {
		l.asks, l.returns, l.took, l.shed = nil, nil, nil, nil
		return LeaseMessage{}, false
	}
	silent := len(l.asks)+len(l.returns)+len(l.took) == 0
	inactive := len(l.asked)+len(l.held) == 0
	if silent && (inactive || now.Sub(l.lastSent) < heartbeatInterval) {
		return LeaseMessage{}, false
	}
	l.sequence++
	message := LeaseMessage{Sequence: l.sequence, Asks: l.asks, Returns: l.returns, Held: l.took, Shed: l.shed}
	l.asks, l.returns, l.took, l.shed = nil, nil, nil, nil
	l.lastSent = now
	if l.unanswered.IsZero() {
		l.unanswered = now
	}
	return message, true
}

// Receive takes a reply and returns the grants of requests that still wait.
func (l *Lessee) Receive(now time.Time, from string, reply LeaseReply) []Grant {
	if from != l.keeper {
		return nil
	}
	if !reply.Keeper {
		l.avoid(now, from)
		return nil
	}
	l.lastHeard, l.open, l.busy = now, reply.Open, reply.Busy
	if reply.Sequence == l.sequence {
		l.unanswered = time.Time{}
	} else if reply.Sequence > 0 {
		l.unanswered = now
	}
	var granted []Grant
	for _, grant := range reply.Grants {
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
		l.avoid(now, l.keeper)
		return
	}
	if l.keeper == "" || l.keeper != l.best(now) {
		l.elect(now)
	}
	if l.keeper != "" && !l.lastHeard.IsZero() && now.Sub(l.lastHeard) >= LeaseTerm {
		l.lastHeard = now
		l.repeat()
	}
}

// avoid asks another candidate than the given one for a while.
func (l *Lessee) avoid(now time.Time, keeper string) {
	if keeper == l.vm {
		return
	}
	l.silent[keeper] = now.Add(silentFor)
	l.elect(now)
}

func (l *Lessee) best(now time.Time) string {
	for _, candidate := range l.order {
		if !now.Before(l.silent[candidate]) {
			return candidate
		}
	}
	return ""
}

func (l *Lessee) elect(now time.Time) {
	best := l.best(now)
	if best == l.keeper {
		return
	}
	l.keeper, l.open, l.busy = best, false, 1
	l.unanswered, l.lastHeard = time.Time{}, time.Time{}
	l.repeat()
}

// repeat tells the keeper all asks and leases anew.
func (l *Lessee) repeat() {
	l.asks, l.took, l.returns = nil, nil, nil
	for _, id := range slices.Sorted(maps.Keys(l.asked)) {
		l.asks = append(l.asks, l.asked[id])
	}
	for _, id := range slices.Sorted(maps.Keys(l.held)) {
		l.took = append(l.took, HeldLease{ID: id, Target: l.held[id]})
	}
}

// Handle applies a VM's message and returns the grants that can be made now,
// to any VM.
func (k *Keeper) Handle(now time.Time, from string, message LeaseMessage) []Grant {
	k.Heard(now, from)
	for _, held := range message.Held {
		k.Adopt(now, from, held.ID, held.Target)
	}
	for _, target := range message.Shed {
		k.Shed(now, target)
	}
	for _, id := range message.Returns {
		k.end(from, id)
	}
	for _, ask := range message.Asks {
		ask.VM = from
		k.enqueue(ask)
	}
	return k.grant(now)
}

// Open reports whether the leases of an earlier keeper have ended.
func (k *Keeper) Open(now time.Time) bool { return !now.Before(k.opensAt) }

// Busy returns the part of the usable slots that is leased, above one when
// VMs took slots by themselves.
func (k *Keeper) Busy() float64 { return k.slots.busy() }
