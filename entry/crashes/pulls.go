package crashes

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
)

const (
	// pullDelay is the time without an equal digest of any VM of a zone after which this VM pulls
	// from one of them. Each primary VM sends seven heartbeats meanwhile, so on links that lose few
	// datagrams there are no pulls while all VMs agree.
	pullDelay = 1500 * time.Millisecond
	// maxQuickPulls is the number of pulls in a row at that interval. News reaches all VMs
	// within three of them, also when no datagram arrives.
	maxQuickPulls = 4
	// slowPullDelay is the interval afterwards, and the time before the next pull from a VM that
	// did not answer: it may be of an older build, or gone.
	slowPullDelay = 8 * time.Second
	// pullJitterShare divides the delay into the greatest random addition to it, so that the
	// VMs of a zone do not call its primary VMs at the same time.
	pullJitterShare = 3
)

// Peer is a VM whose heartbeats this VM gets.
type Peer struct{ VM, Zone string }

// pulls schedules the pulls: calls that compare this VM's digest with that of another VM and fetch
// its evidence if they differ. The reconciler calls a VM only after a heartbeat with another digest;
// without pulls, a VM that gets no heartbeats would never learn what others know. Times are
// uptimes; the reconciler's lock guards all.
type pulls struct {
	// agreedAt holds, by VM, when its digest last needed no call: it was equal, or the difference
	// is known to remain after a call.
	agreedAt map[string]time.Duration
	// failedAt holds, by VM, when it last did not answer a pull.
	failedAt map[string]time.Duration
	zones    map[string]*zonePulls
}

// zonePulls is the state of the pulls from the VMs of one zone.
type zonePulls struct {
	agreedAt, dueAt time.Duration
	// own is the digest of this VM at the latest update.
	own uint64
	// count is the number of pulls since a VM of the zone agreed or this VM's digest changed.
	count int
}

func newPulls() pulls {
	return pulls{agreedAt: make(map[string]time.Duration), failedAt: make(map[string]time.Duration), zones: make(map[string]*zonePulls)}
}

// delay returns how long to wait for the next pull.
func (z *zonePulls) delay() time.Duration {
	delay := pullDelay
	if z.count >= maxQuickPulls {
		delay = slowPullDelay
	}
	return delay + rand.N(delay/pullJitterShare)
}

// observe updates the state for a VM of the zone that agreed last at the given time.
func (z *zonePulls) observe(own uint64, agreedAt time.Duration) {
	if agreedAt <= z.agreedAt {
		return
	}
	z.agreedAt, z.own, z.count = agreedAt, own, 0
	z.dueAt = agreedAt + z.delay()
}

// ownChanged makes pulls quick again when this VM has learned something.
func (z *zonePulls) ownChanged(own uint64, now time.Duration) {
	if own == z.own {
		return
	}
	z.own, z.count = own, 0
	z.dueAt = min(z.dueAt, now+z.delay())
}

// duePull returns the VM from which a pull is due now and schedules the next one of its zone; ok
// is false for none.
func (r *reconciler) duePull(own uint64, peers []Peer, now time.Duration) (vm string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byZone := r.updateZones(own, peers, now)
	if now < r.nextAt {
		return "", false
	}
	for name, vms := range byZone { // in random order
		zone := r.pulls.zones[name]
		if now < zone.dueAt {
			continue
		}
		zone.count++
		zone.dueAt = now + zone.delay()
		if len(vms) == 0 {
			continue // no VM of the zone has answered lately
		}
		r.nextAt = now + reconcileInterval
		return vms[rand.IntN(len(vms))], true
	}
	return "", false
}

// updateZones brings the state of the zones up to date, forgets VMs that are no peers any more
// and returns, by zone, the VMs whose latest pull has not just failed; the lock is held.
func (r *reconciler) updateZones(own uint64, peers []Peer, now time.Duration) map[string][]string {
	byZone, listed := make(map[string][]string), make(map[string]bool, len(peers))
	for _, peer := range peers {
		listed[peer.VM] = true
		zone := r.pulls.zones[peer.Zone]
		if zone == nil {
			zone = &zonePulls{own: own}
			zone.dueAt = now + zone.delay()
			r.pulls.zones[peer.Zone] = zone
		}
		zone.observe(own, r.pulls.agreedAt[peer.VM])
		zone.ownChanged(own, now)
		vms := byZone[peer.Zone]
		if failedAt, failed := r.pulls.failedAt[peer.VM]; !failed || now-failedAt >= slowPullDelay {
			vms = append(vms, peer.VM)
		}
		byZone[peer.Zone] = vms
	}
	r.pulls.forget(listed, byZone)
	return byZone
}

// forget removes the state of VMs and zones that are absent.
func (p *pulls) forget(listed map[string]bool, byZone map[string][]string) {
	for _, times := range []map[string]time.Duration{p.agreedAt, p.failedAt} {
		for vm := range times {
			if !listed[vm] {
				delete(times, vm)
			}
		}
	}
	for zone := range p.zones {
		if _, present := byZone[zone]; !present {
			delete(p.zones, zone)
		}
	}
}

// pullFailed records that a VM did not answer.
func (r *reconciler) pullFailed(vm string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulls.failedAt[vm] = now
}

// pull fetches a VM's evidence unless the digests are equal. If they still differ afterwards, that
// VM lacks some of this VM's evidence, and a full exchange follows.
func (t *Tracker) pull(ctx context.Context, vm string) {
	limited, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	got, err := t.options.Pull(limited, vm, t.Digest())
	if err != nil {
		t.reconciler.pullFailed(vm, t.options.Uptime())
		t.options.Scope.Counter("pulls_failed").Inc(1)
		events.ReconciliationFailed.Log(t.options.Logger, "vm", vm, "cause", err)
		return
	}
	t.options.Scope.Counter("pulls").Inc(1)
	t.mergeAll(vm, got.Evidence)
	if t.Digest() != got.Digest {
		t.reconcile(ctx, vm)
	}
}

// HandlePull returns this VM's evidence and digest, or only the digest when the caller's is equal.
func (t *Tracker) HandlePull(digest uint64) Reconciled {
	own := t.Digest()
	if own == digest {
		return Reconciled{Digest: own}
	}
	return Reconciled{Evidence: t.allEvidence(), Digest: own}
}
