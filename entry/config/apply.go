package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/events"
)

// applyBackoff is the mean wait after a failed attempt to apply a root, and the
// longest wait for an offer before the next check for a root that is due.
const applyBackoff = 300 * time.Millisecond

// applyNewest puts the newest root in force whenever there is one. It skips roots
// that a newer one replaced in the meantime.
func (m *Manager) applyNewest(ctx context.Context) {
	for ctx.Err() == nil {
		next := m.nextCandidate()
		if next == nil {
			m.awaitOffer(ctx)
			continue
		}
		if err := m.apply(ctx, next); err != nil && ctx.Err() == nil {
			m.metrics.applyFailures.Inc(1)
			m.reportFailure(next, err)
			m.countFailure(next)
			pause(ctx, m.jitter(applyBackoff))
		}
	}
}

// nextCandidate returns the root to put in force now, or nil.
func (m *Manager) nextCandidate() *candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	id, ok := m.decider.Next(time.Now())
	if !ok || m.newest == nil || m.newest.id != id {
		return nil
	}
	return m.newest
}

// awaitOffer waits for an offered root, but at most for applyBackoff: while
// starting, a root may become due without a further offer.
func (m *Manager) awaitOffer(ctx context.Context) {
	timer := time.NewTimer(applyBackoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-timer.C:
	}
}

// apply fetches the missing shards, compiles the snapshot and puts it in force.
func (m *Manager) apply(ctx context.Context, next *candidate) error {
	if err := m.fetchMissing(ctx, next); err != nil {
		return err
	}
	begin := time.Now()
	snap, err := m.compile(next)
	if err != nil {
		m.discard(next)
		return err
	}
	m.metrics.compileTime.Record(time.Since(begin))
	m.putInForce(next, snap)
	clear(m.staged)
	return nil
}

// compile builds the snapshot. It turns a panic into an error, so that no
// published value can crash the VMs of the fleet.
func (m *Manager) compile(next *candidate) (snap *snapshot.Snapshot, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("compile generation %d: %v", next.id.Generation, cause)
		}
	}()
	return snapshot.Compile(next.root, next.id.Digest, m.staged, m.Current())
}

// discard withdraws a root that cannot be put in force, such as one whose shards
// match their digests but cannot be compiled, so that the decider accepts the
// publisher's next attempt.
func (m *Manager) discard(next *candidate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decider.Discard(next.id)
	clear(m.staged)
}

// maxPeerFailures is the number of failed attempts after which a root offered by
// a peer is discarded, so that it does not block other roots.
const maxPeerFailures = 5

// countFailure counts a failed attempt to put a root in force and discards a
// peer's root after maxPeerFailures of them.
func (m *Manager) countFailure(next *candidate) {
	next.failures++
	if next.peer != "" && next.failures >= maxPeerFailures {
		m.discard(next)
	}
}

// reportFailure logs and reports why a root could not be put in force, once for
// consecutive failures with the same error.
func (m *Manager) reportFailure(next *candidate, err error) {
	m.mu.Lock()
	same := m.problem == err.Error()
	m.mu.Unlock()
	if same {
		return
	}
	m.setProblem(err.Error())
	events.ConfigurationNotApplied.Log(m.options.Logger, "generation", next.id.Generation, "peer", next.peer, "error", err)
}

// putInForce replaces the snapshot in force unless a later one is already there.
func (m *Manager) putInForce(next *candidate, snap *snapshot.Snapshot) {
	m.mu.Lock()
	if !m.decider.MarkInForce(next.id) {
		m.mu.Unlock()
		return
	}
	m.current.Store(&inForce{snapshot: snap, root: next.content})
	m.problem = ""
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.reportState()
	m.metrics.generation.Update(float64(snap.Generation))
	m.metrics.rejected.Update(float64(snap.RejectedCount()))
	events.ConfigurationInForce.Log(m.options.Logger, "generation", snap.Generation, "customers", snap.CustomerCount(), "peer", next.peer)
	for _, rejection := range firstFew(snap.Rejections()) {
		events.DefinitionRejected.Log(m.options.Logger, "path", rejection.Path, "error", rejection.Reason, "kept_last_good", rejection.KeptLastGood)
	}
	m.notify()
}

// maxLoggedRejections bounds the log lines of one generation.
const maxLoggedRejections = 5

func firstFew(rejections []snapshot.Rejection) []snapshot.Rejection {
	return rejections[:min(len(rejections), maxLoggedRejections)]
}

// notify calls the subscribers, in order, with the snapshot in force.
func (m *Manager) notify() {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	subscribers := m.subscribers
	m.mu.Unlock()
	for _, onChange := range subscribers {
		onChange(m.Current())
	}
}

// missing returns the shards of a root that are neither in the snapshot in force
// nor staged.
func (m *Manager) missing(next *candidate) []document.ShardRef {
	var missing []document.ShardRef
	for _, ref := range snapshot.MissingShards(next.root, m.Current()) {
		if _, ok := m.staged[ref.Digest]; !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

var errShardsMissing = errors.New("no peer and no replica has all shards")
