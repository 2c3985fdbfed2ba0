package config

import (
	"context"
	"errors"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/platform"
	"github.com/primroseloom/primroseloom/policy/generation"
	"github.com/primroseloom/primroseloom/policy/subset"
)

const (
	// watchWait is the mean length of a watch.
	watchWait = 10 * time.Second
	// minBackoff and maxBackoff bound the mean wait after a failed call.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 5 * time.Second
	// roleLifetime is how long a role that was worked out is used.
	roleLifetime = time.Second
)

// currentRole returns this instance's place in its present view of the fleet.
func (m *Manager) currentRole() generation.Role {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Before(m.roleUntil) {
		return m.role
	}
	self := m.options.Members.Self()
	view := []subset.VM{}
	for _, member := range m.options.Members.Members() {
		view = append(view, subset.VM{Name: member.Vm, Zone: member.Zone, Region: member.Region})
	}
	own := subset.VM{Name: self.Vm, Zone: self.Zone, Region: self.Region}
	m.role = generation.AssignRole(own, view)
	m.roleUntil = now.Add(roleLifetime)
	return m.role
}

// Reader reports whether this instance reads the platform for others.
func (m *Manager) Reader() bool { return m.currentRole().Reader }

// platformReader is the state of the goroutine that asks the platform.
type platformReader struct {
	manager  *Manager
	replicas *replicaChoice
	// version is the newest version of the root that the platform showed.
	version uint64
	backoff time.Duration
	failing bool
	// nextRead is when an instance that is no reader reads next.
	nextRead time.Time
}

// watchPlatform asks the platform for the root: as a reader by watches, while
// starting by reads, and otherwise only when no confirmation is fresh.
func (m *Manager) watchPlatform(ctx context.Context) {
	m.mu.Lock()
	delay := generation.StartDelay(m.options.Random)
	m.mu.Unlock()
	pause(ctx, delay)
	choice := newReplicaChoice(m.options.Source.Replicas(), m.currentRole().Index)
	reader := &platformReader{manager: m, replicas: choice, backoff: minBackoff}
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

// fallBack reads the platform when no reader's confirmation is fresh.
func (r *platformReader) fallBack(ctx context.Context, role generation.Role) {
	m := r.manager
	m.mu.Lock()
	confirmed := m.confirmed
	m.mu.Unlock()
	now := time.Now()
	if !generation.NeedsOwnRead(now, confirmed) {
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

// call reads the root, or watches it when wait is not zero. A replica that the
// reader turns to is read before it is watched.
func (r *platformReader) call(ctx context.Context, role generation.Role, wait time.Duration) {
	m := r.manager
	replica, proven := r.replicas.next(time.Now())
	if !proven {
		wait = 0
	}
	m.spend(ctx, role)
	m.metrics.rootCalls.Inc(1)
	value, err := m.options.Source.WatchAt(ctx, replica, document.RootKey, r.version, wait)
	if ctx.Err() != nil {
		return
	}
	switch {
	case err == nil && value.Content == nil:
		m.confirm(0)
	case err == nil:
		r.version = value.Version
		err = m.offer(value.Content, "", replica)
	case errors.Is(err, platform.ErrNotFound):
		m.heardEmpty(generation.FromPlatform)
	case errors.Is(err, platform.ErrStale):
		m.metrics.staleReplicas.Inc(1)
	}
	failed := err != nil && !errors.Is(err, platform.ErrNotFound)
	r.replicas.settle(replica, wait > 0, failed, time.Now().Add(m.jitter(replicaPenalty)))
	r.settle(ctx, err)
}

// settle logs the change between failing and answering, and backs off.
func (r *platformReader) settle(ctx context.Context, err error) {
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

// spend waits until the budget allows one platform call.
func (m *Manager) spend(ctx context.Context, role generation.Role) {
	m.mu.Lock()
	wait := m.budget.Reserve(time.Now(), generation.CallRate(role, m.options.FleetSize))
	m.mu.Unlock()
	if wait > 0 {
		pause(ctx, wait)
	}
}
