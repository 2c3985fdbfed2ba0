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

// applyBackoff is the mean wait before shards are fetched again.
const applyBackoff = 300 * time.Millisecond

// applyNewest puts the newest root in force whenever there is one. Roots that
// were replaced by newer ones meanwhile are skipped.
func (m *Manager) applyNewest(ctx context.Context) {
	for ctx.Err() == nil {
		next := m.nextCandidate()
		if next == nil {
			m.awaitOffer(ctx)
			continue
		}
		if err := m.apply(ctx, next); err != nil && ctx.Err() == nil {
			m.metrics.applyFailures.Inc(1)
			m.noteFailure(next, err)
			m.doubt(next)
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

// awaitOffer waits for an offer; a starting instance looks again by itself.
func (m *Manager) awaitOffer(ctx context.Context) {
	timer := time.NewTimer(applyBackoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-timer.C:
	}
}

// apply fetches what is lacking, compiles the snapshot and puts it in force.
func (m *Manager) apply(ctx context.Context, next *candidate) error {
	if err := m.fetchMissing(ctx, next); err != nil {
		return err
	}
	begin := time.Now()
	snap, err := m.compile(next)
	if err != nil {
		m.giveUp(next)
		return err
	}
	m.metrics.compileTime.Record(time.Since(begin))
	m.putInForce(next, snap)
	clear(m.staged)
	return nil
}

// compile builds the snapshot; a panic over a published value becomes an error,
// so that no value can stop the fleet.
func (m *Manager) compile(next *candidate) (snap *snapshot.Snapshot, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = fmt.Errorf("compile generation %d: %v", next.id.Generation, cause)
		}
	}()
	return snapshot.Compile(next.root, next.id.Digest, m.staged, m.Current())
}

// giveUp withdraws a root whose shards are what was published but cannot be
// read, so that the publisher's next attempt is taken.
func (m *Manager) giveUp(next *candidate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decider.Discard(next.id)
	clear(m.staged)
}

// maxPeerFailures is the number of failed attempts after which the root that a
// peer offered is given up, so that it does not stand in the way of others.
const maxPeerFailures = 5

func (m *Manager) doubt(next *candidate) {
	next.failures++
	if next.peer != "" && next.failures >= maxPeerFailures {
		m.giveUp(next)
	}
}

func (m *Manager) noteFailure(next *candidate, err error) {
	m.mu.Lock()
	same := m.problem == err.Error()
	m.mu.Unlock()
	if same {
		return
	}
	m.setProblem(err.Error())
	events.ConfigurationNotApplied.Log(m.options.Logger, "generation", next.id.Generation, "peer", next.peer, "error", err)
}

// putInForce swaps the snapshot, unless a later one is in force already.
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
	m.report()
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

// notify calls the subscribers with the snapshot in force, in order.
func (m *Manager) notify() {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	m.mu.Lock()
	subscribers := m.subscribers
	m.mu.Unlock()
	for _, onChange := range subscribers {
		onChange(m.Current())
	}
}

// missing returns the shards that neither the snapshot nor the stage holds.
func (m *Manager) missing(next *candidate) []document.ShardRef {
	var missing []document.ShardRef
	for _, ref := range snapshot.MissingShards(next.root, m.Current()) {
		if _, ok := m.staged[ref.Digest]; !ok {
			missing = append(missing, ref)
		}
	}
	return missing
}

var errShardsLacking = errors.New("no peer and no replica has all shards")
