package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/platform"
	"github.com/primroseloom/primroseloom/policy/generation"
	"github.com/primroseloom/primroseloom/policy/subset"
)

const (
	// watchWait is the mean duration of a watch.
	watchWait = 10 * time.Second
	// minBackoff and maxBackoff bound the mean wait after a failed call.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 5 * time.Second
	// roleLifetime is how long a computed role is used.
	roleLifetime = time.Second
)

// currentRole returns this instance's role in its current view of the fleet.
func (m *Manager) currentRole() generation.Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Before(m.roleExpiry) {
		return m.role
	}
	self := m.options.Members.Self()
	view := []subset.VM{}
	for _, member := range m.options.Members.Members() {
		view = append(view, subset.VM{Name: member.Vm, Zone: member.Zone, Region: member.Region})
	}
	own := subset.VM{Name: self.Vm, Zone: self.Zone, Region: self.Region}
	m.role = generation.AssignRole(own, view)
	m.roleExpiry = now.Add(roleLifetime)
	return m.role
}

// IsReader reports whether this instance reads the platform for others.
func (m *Manager) IsReader() bool { return m.currentRole().Reader }

// platformReader is the state of the goroutine that reads the root from the
// platform.
type platformReader struct {
	manager  *Manager
	replicas *replicaSelector
	// known holds what each replica returned last.
	known   []replicaRoot
	backoff time.Duration
	failing bool
	// nextRead is when an instance that is not a reader reads next; zero while
	// no read is scheduled.
	nextRead time.Time
}

// replicaRoot is the root that a replica returned last.
type replicaRoot struct {
	// version is the root's version; zero when it is not known or may have been assigned
	// again.
	version uint64
	// generation is the root's generation.
	generation uint64
}

// watchPlatform reads the root from the platform: a reader watches it, a starting
// instance reads it, and any other instance reads it only when the last
// confirmation is too old.
func (m *Manager) watchPlatform(ctx context.Context) {
	m.mu.Lock()
	delay := generation.StartDelay(m.options.Random)
	m.mu.Unlock()
	pause(ctx, delay)
	replicas := newReplicaSelector(m.options.Source.Replicas(), m.currentRole().Index)
	reader := &platformReader{manager: m, replicas: replicas, backoff: minBackoff, known: make([]replicaRoot, m.options.Source.Replicas())}
	for ctx.Err() == nil {
		role := m.currentRole()
		switch {
		case role.Reader:
			reader.nextRead = time.Time{}
			reader.call(ctx, role, m.jitter(watchWait))
		case m.newestRoot() == generation.Root{}:
			reader.call(ctx, role, 0)
		default:
			reader.fallBack(ctx, role)
		}
	}
}

// fallBack reads the platform when the last confirmation of the newest root is
// too old.
func (r *platformReader) fallBack(ctx context.Context, role generation.Role) {
	m := r.manager
	m.mu.Lock()
	confirmedAt := m.confirmedAt
	m.mu.Unlock()
	now := time.Now()
	if !generation.NeedsOwnRead(now, confirmedAt) {
		r.nextRead = time.Time{}
		pause(ctx, roleLifetime)
		return
	}
	if r.nextRead.IsZero() {
		r.nextRead = now.Add(m.jitter(generation.FallbackReadInterval))
	}
	if now.Before(r.nextRead) {
		pause(ctx, roleLifetime)
		return
	}
	r.nextRead = now.Add(m.jitter(generation.FallbackReadInterval))
	m.metrics.fallbackReads.Inc(1)
	r.call(ctx, role, 0)
}

// call reads the root, or watches it when wait is not zero. A newly selected
// replica is read before it is watched.
func (r *platformReader) call(ctx context.Context, role generation.Role, wait time.Duration) {
	m := r.manager
	replica, responded := r.replicas.next(time.Now())
	if !responded {
		wait = 0
	}
	m.waitForBudget(ctx, role)
	m.metrics.rootCalls.Inc(1)
	value, err := m.options.Source.WatchAt(ctx, replica, document.RootKey, r.known[replica].version, wait)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		err = r.take(replica, value)
	}
	switch {
	case errors.Is(err, platform.ErrNotFound):
		m.noteNoNewerRoot(generation.FromPlatform)
	case errors.Is(err, platform.ErrStale):
		m.metrics.staleReplicas.Inc(1)
	case err != nil:
		clear(r.known) // the platform may come back from a copy and assign versions again
	}
	failed := err != nil && !errors.Is(err, platform.ErrNotFound)
	r.replicas.recordResult(replica, wait > 0, failed, time.Now().Add(m.jitter(replicaPenalty)))
	r.handleResult(ctx, err)
}

// take offers the root that a replica returned, or confirms the newest one when the
// replica has not changed it. The error is platform.ErrStale when the replica's root is
// older than the newest one: the replica is stale, or the platform was restored.
func (r *platformReader) take(replica int, value contract.Value) error {
	m, known := r.manager, &r.known[replica]
	if value.Content != nil {
		offered, err := m.offer(value.Content, "", replica)
		if err != nil {
			return err
		}
		known.version, known.generation = value.Version, offered
	}
	if known.generation < m.newestRoot().Generation {
		return fmt.Errorf("take root of platform replica %d: %w", replica, platform.ErrStale)
	}
	if value.Content == nil {
		m.confirm(0)
	}
	return nil
}

// handleResult logs when calls begin to fail or succeed again, and backs off after
// a failure.
func (r *platformReader) handleResult(ctx context.Context, err error) {
	m := r.manager
	if err == nil {
		if r.failing {
			events.PlatformRecovered.Log(m.options.Logger)
		}
		r.failing = false
		r.backoff = minBackoff
		return
	}
	m.metrics.platformFailures.Inc(1)
	if !r.failing {
		events.PlatformReadFailed.Log(m.options.Logger, "step", "watch root", "error", err)
	}
	r.failing = true
	pause(ctx, m.jitter(r.backoff))
	r.backoff = min(2*r.backoff, maxBackoff)
}

// waitForBudget waits until the call budget allows one platform call.
func (m *Manager) waitForBudget(ctx context.Context, role generation.Role) {
	m.mu.Lock()
	wait := m.budget.Reserve(time.Now(), generation.CallRate(role, m.options.FleetSize))
	m.mu.Unlock()
	if wait > 0 {
		pause(ctx, wait)
	}
}
