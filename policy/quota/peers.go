package quota

import (
	"math"
	"time"
)

const (
	// silenceTime is the time without a datagram from which a VM counts as silent.
	silenceTime = 700 * time.Millisecond
	// trustedTime is the time for which a VM must have been heard without a pause before
	// its first report of a customer is charged. Before that, the count may be of requests
	// of long ago.
	trustedTime = time.Second
	// forgetTime is the time after which a VM that does not serve callers and is not heard
	// from is forgotten.
	forgetTime = time.Minute
)

// Peer is another VM that serves callers or did so lately.
type Peer struct {
	VM string
	// Age is the time since its last datagram; negative when none was received.
	Age time.Duration
}

// Report is the number of requests of a customer that a VM has admitted.
type Report struct {
	Customer Customer
	// Admitted never falls, except that it begins anew with the sender's process and after
	// the customer was idle there for restartTime.
	Admitted uint64
}

// peer is what is known of another VM.
type peer struct {
	id       uint32
	instance uint64
	serving  bool
	silent   bool
	heardAt  time.Duration
	// heardSince is since when it has been heard without a pause.
	heardSince time.Duration
}

// peerUse is what another VM has reported of one customer.
type peerUse struct {
	id    uint32
	count uint64
	rate  float64
	at    time.Duration
}

// SetServing replaces the other VMs that serve callers or did so lately.
func (t *Table) SetServing(now time.Duration, vms []Peer) {
	for _, p := range t.peers {
		p.serving = false
	}
	for _, vm := range vms {
		p := t.peer(now, vm.VM)
		p.serving, p.silent = true, vm.Age < 0 || vm.Age >= silenceTime
	}
	for name, p := range t.peers {
		if !p.serving && now-p.heardAt > forgetTime {
			delete(t.peers, name)
		}
	}
	t.serving = len(vms) + 1
	t.countSilent()
}

// countSilent counts the serving VMs that are silent.
func (t *Table) countSilent() {
	t.silent = 0
	for _, p := range t.peers {
		if p.serving && p.silent {
			t.silent++
		}
	}
}

// peer returns the state of a VM, created if necessary.
func (t *Table) peer(now time.Duration, vm string) *peer {
	p, ok := t.peers[vm]
	if !ok {
		t.lastPeer++
		p = &peer{id: t.lastPeer, heardAt: now, heardSince: now}
		t.peers[vm] = p
	}
	return p
}

// Merge applies a datagram of another VM. It is called for each datagram, also for those
// without reports, and only for those that are newer than all before. LimitOf returns the
// limit of a customer; ok is false when it has none.
func (t *Table) Merge(now time.Duration, vm string, instance uint64, reports []Report, limitOf func(Customer) (limit Limit, ok bool)) {
	p := t.peer(now, vm)
	if p.instance != instance {
		t.lastPeer++
		p.id, p.instance, p.heardSince = t.lastPeer, instance, now
	}
	if now-p.heardAt >= silenceTime {
		p.heardSince = now
	}
	p.heardAt = now
	for _, report := range reports {
		if limit, ok := limitOf(report.Customer); ok {
			a := t.touch(now, report.Customer, limit)
			a.advance(now, t.silent, t.serving)
			t.apply(a, p, now, report.Admitted)
		}
	}
	if p.silent { // after its reports are charged, since accounts then release what they hold for it
		p.silent = false
		t.countSilent()
	}
}

// apply applies a VM's count.
func (t *Table) apply(a *account, p *peer, now time.Duration, count uint64) {
	use := a.peerUse(p.id, now)
	if use == nil {
		requests := 0.0
		switch {
		case p.silent:
			// The count may be of long ago, so that only what is held is charged.
			a.drawHeld(min(float64(count), a.held/float64(max(t.silent, 1))))
		case now-p.heardSince >= trustedTime:
			requests = float64(count)
		}
		rate := requests / rateTime.Seconds()
		a.charge(requests, creditTime, t.settings.Window)
		a.expected += rate
		a.peers = append(a.peers, peerUse{id: p.id, count: count, rate: rate, at: now})
		return
	}
	requests := count - use.count
	if count < use.count {
		requests = count // it began anew
	}
	elapsed := now - use.at
	decay := math.Exp(-elapsed.Seconds() / rateTime.Seconds())
	unexpected := float64(requests) - expectedUse(use.rate, decay)
	if p.silent {
		unexpected = a.drawHeld(unexpected)
	}
	a.charge(unexpected, elapsed, t.settings.Window)
	rate := use.rate*decay + newRate(requests, elapsed)
	a.expected = max(a.expected-use.rate*decay, 0) + rate
	*use = peerUse{id: p.id, count: count, rate: rate, at: now}
}

// newRate returns what requests in the time since the report before add to the average rate.
func newRate(requests uint64, elapsed time.Duration) float64 {
	if elapsed <= 0 {
		return float64(requests) / rateTime.Seconds()
	}
	// The requests came evenly in this time, and the earlier ones count less.
	perSecond := float64(requests) / elapsed.Seconds()
	return perSecond * (1 - math.Exp(-elapsed.Seconds()/rateTime.Seconds()))
}

// peerUse returns what a VM has reported; nil when nothing. It forgets VMs that have not
// reported for forgetTime when there are many.
func (a *account) peerUse(id uint32, now time.Duration) *peerUse {
	const many = 32
	for i := range a.peers {
		if a.peers[i].id == id {
			return &a.peers[i]
		}
	}
	if len(a.peers) >= many {
		kept := a.peers[:0]
		for _, use := range a.peers {
			if now-use.at < forgetTime {
				kept = append(kept, use)
			}
		}
		a.peers = kept
	}
	return nil
}
