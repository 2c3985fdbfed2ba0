package crashes

import (
	"context"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

const (
	// reconcileDelay is how long another VM's digest must differ before it is called: what is
	// new is mostly on its way.
	reconcileDelay = 400 * time.Millisecond
	// minTimesTold is the number of datagrams that must have told it meanwhile.
	minTimesTold = 2
	// changingDelay is how long it must differ when what the two VMs know goes on changing.
	changingDelay = 2 * time.Second
	// reconcileInterval is the minimum time between two calls of this VM.
	reconcileInterval = 300 * time.Millisecond
	// reconcileTimeout bounds one call.
	reconcileTimeout = time.Second
	// digestLifetime is how long the digest of another VM counts.
	digestLifetime = 2 * time.Second
	// maxReconciledRequests bounds the requests in one message.
	maxReconciledRequests = 1024
)

// Reconciled is what another VM returned.
type Reconciled struct {
	Evidence []quarantine.Evidence
	// Digest is the digest of what the VM knows after the call.
	Digest uint64
}

// digests is a pair of digests of this VM and of another one.
type digests struct{ own, theirs uint64 }

// peerDigest is what is known of the digest of another VM.
type peerDigest struct {
	theirs uint64
	// toldAt is when the VM last told a digest, heardAt when it last sent any datagram.
	toldAt, heardAt time.Duration
	// differsSince is since when it differs from that of this VM, zero while they are equal;
	// differing are the digests then, which have been the same since sameSince.
	differsSince, sameSince time.Duration
	differing               digests
	// timesTold counts the datagrams that told the differing digest.
	timesTold int
	// settled is the pair of digests that a call did not make equal.
	settled digests
}

// reconciler finds the VMs that know something else than this one.
type reconciler struct {
	mu    sync.Mutex
	peers map[string]*peerDigest
	// nextAt is the uptime from which this VM may call again.
	nextAt time.Duration
	pulls  pulls
}

func newReconciler() reconciler {
	return reconciler{peers: make(map[string]*peerDigest), pulls: newPulls()}
}

// heard records the digest of another VM, zero when it told none.
func (r *reconciler) heard(vm string, own, theirs uint64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.peers[vm]
	if peer == nil {
		peer = &peerDigest{}
		r.peers[vm] = peer
	}
	peer.heardAt = now
	if theirs == 0 {
		return
	}
	peer.theirs, peer.toldAt = theirs, now
	peer.compare(own, now)
	if own == theirs || peer.settled == (digests{own, theirs}) {
		r.pulls.agreedAt[vm] = now
	}
}

// compare records whether the digest differs from that of this VM.
func (p *peerDigest) compare(own uint64, now time.Duration) {
	if own == p.theirs {
		p.differsSince = 0
		return
	}
	if p.differsSince == 0 {
		p.differsSince = now
	}
	if pair := (digests{own, p.theirs}); p.differing != pair || p.differsSince == now {
		p.differing, p.sameSince, p.timesTold = pair, now, 0
	}
	p.timesTold++
}

// due returns a VM that is to be called now; ok is false for none.
func (r *reconciler) due(own uint64, now time.Duration) (vm string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now < r.nextAt {
		return "", false
	}
	for name, peer := range r.peers { // in random order
		if now-peer.heardAt >= digestLifetime {
			delete(r.peers, name)
			continue
		}
		if peer.isDue(own, now) {
			r.nextAt = now + reconcileInterval
			return name, true
		}
	}
	return "", false
}

// isDue reports whether the VM is to be called.
func (p *peerDigest) isDue(own uint64, now time.Duration) bool {
	if p.differsSince == 0 || p.theirs == own || now-p.toldAt >= digestLifetime {
		return false
	}
	pair := digests{own, p.theirs}
	isSame := pair == p.differing && p.timesTold >= minTimesTold && now-p.sameSince >= reconcileDelay
	return p.settled != pair && (isSame || now-p.differsSince >= changingDelay)
}

// called records the digests after a call.
func (r *reconciler) called(vm string, own, theirs uint64, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	peer := r.peers[vm]
	if peer == nil {
		return
	}
	peer.theirs, peer.toldAt, peer.differsSince = theirs, now, 0
	peer.compare(own, now)
	if own != theirs {
		peer.settled = digests{own, theirs}
	}
}

// allAgree reports whether at least one VM has lately told a digest and all VMs that were
// heard lately told that of this VM.
func (r *reconciler) allAgree(own uint64, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	agrees := false
	for _, peer := range r.peers {
		if now-peer.heardAt >= digestLifetime {
			continue
		}
		if peer.theirs != own || now-peer.toldAt >= digestLifetime {
			return false
		}
		agrees = true
	}
	return agrees
}

// Digest returns the digest of all that this VM knows.
func (t *Tracker) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Digest(t.options.Uptime())
}

// DigestReceived records the digest of what another VM knows; zero when it told none.
func (t *Tracker) DigestReceived(vm string, digest uint64) {
	t.reconciler.heard(vm, t.Digest(), digest, t.options.Uptime())
}

// reconcileDue exchanges evidence with a VM whose digest differs, or pulls from one that has told
// no equal digest for a while, if such a call is due.
func (t *Tracker) reconcileDue(ctx context.Context) {
	if t.options.Reconcile == nil {
		return
	}
	own, now := t.Digest(), t.options.Uptime()
	if vm, ok := t.reconciler.due(own, now); ok {
		t.reconcile(ctx, vm)
	} else if vm, ok := t.reconciler.duePull(own, t.options.Peers(), now); ok {
		t.pull(ctx, vm)
	}
}

// reconcile exchanges all evidence with another VM.
func (t *Tracker) reconcile(ctx context.Context, vm string) {
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	before := t.Digest()
	got, err := t.options.Reconcile(ctx, vm, t.allEvidence())
	if err != nil {
		t.options.Scope.Counter("reconciliations_failed").Inc(1)
		events.ReconciliationFailed.Log(t.options.Logger, "vm", vm, "cause", err)
		return
	}
	t.options.Scope.Counter("reconciliations").Inc(1)
	t.mergeAll(vm, got.Evidence)
	after := t.Digest()
	t.reconciler.called(vm, after, got.Digest, t.options.Uptime())
	events.EvidenceReconciled.Log(t.options.Logger, "vm", vm, "requests", len(got.Evidence), "changed", before != after, "equal", after == got.Digest)
}

// HandleReconcile merges all that another VM knows and returns all that this one knows then.
func (t *Tracker) HandleReconcile(vm string, evidence []quarantine.Evidence) Reconciled {
	t.mergeAll(vm, evidence)
	return Reconciled{Evidence: t.allEvidence(), Digest: t.Digest()}
}

func (t *Tracker) mergeAll(vm string, all []quarantine.Evidence) {
	for _, evidence := range all {
		t.MergeRequest(vm, evidence)
	}
}

// allEvidence returns what this VM knows, as far as it fits into one message.
func (t *Tracker) allEvidence() []quarantine.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.table.Evidence(t.options.Uptime())
	return all[:min(len(all), maxReconciledRequests)]
}
