package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/generation"
)

// Source reads single replicas of the platform.
type Source interface {
	// Replicas returns the number of replicas.
	Replicas() int
	// ReadAt reads a value from one replica.
	ReadAt(ctx context.Context, replica int, key string) (contract.Value, error)
	// WatchAt waits until a replica shows a version other than the given one.
	WatchAt(ctx context.Context, replica int, key string, version uint64, wait time.Duration) (contract.Value, error)
}

// Reporter carries this instance's configuration state to the other members.
type Reporter interface {
	// SetConfiguration reports the generation in force, why a newer one is not in
	// force (empty when none is known) and the number of rejected definitions.
	SetConfiguration(generation uint64, problem string, rejected uint32)
}

// Options are the dependencies and parameters of a Manager.
type Options struct {
	Fleet   string
	Source  Source
	Members contract.Members
	// Reporter may be nil.
	Reporter Reporter
	// ExpectsPeers is true when the settings name peers to join.
	ExpectsPeers bool
	// FleetSize is the largest number of instances; 0 for the default.
	FleetSize int
	Scope     tally.Scope
	Logger    *log.Logger
	// Random adds jitter to the times of calls; only the manager may use it.
	Random *rand.Rand
}

// candidate is a root that may be put in force.
type candidate struct {
	id      generation.Root
	root    document.Root
	content []byte
	// peer is the VM that offered the root; empty if the platform did.
	peer string
	// replica is the platform replica that offered the root, if peer is empty.
	replica int
	// failures counts the failed attempts to put the root in force.
	failures int
}

// inForce is a snapshot together with the root as published.
type inForce struct {
	snapshot *snapshot.Snapshot
	root     []byte
}

// id returns the generation and digest of the root in force.
func (f *inForce) id() generation.Root {
	return generation.Root{Generation: f.snapshot.Generation, Digest: f.snapshot.Digest}
}

// Manager implements contract.Configuration and serves peers.
type Manager struct {
	options Options
	metrics *counters
	current atomic.Pointer[inForce]

	mu      sync.Mutex
	decider *generation.Decider
	// newest is the candidate for the decider's newest root.
	newest      *candidate
	budget      generation.Budget
	confirmedAt time.Time
	problem     string
	// changed is closed when another snapshot is put in force.
	changed      chan struct{}
	subscribers  []func(*snapshot.Snapshot)
	waitingPolls int
	role         generation.Role
	roleExpiry   time.Time

	// wake signals the applying goroutine that there may be a newer root.
	wake chan struct{}
	// notifyMu serializes the calls to subscribers.
	notifyMu sync.Mutex
	// staged holds verified shards of roots not yet in force, by digest; only
	// the applying goroutine uses it.
	staged map[string][]byte
}

// New returns a manager without a snapshot.
func New(options Options) *Manager {
	now := time.Now()
	if options.FleetSize == 0 {
		options.FleetSize = generation.DefaultFleetSize
	}
	manager := &Manager{
		options:     options,
		metrics:     newCounters(options.Scope),
		decider:     generation.NewDecider(now),
		confirmedAt: now,
		changed:     make(chan struct{}),
		wake:        make(chan struct{}, 1),
		staged:      make(map[string][]byte),
	}
	if !options.ExpectsPeers {
		manager.decider.NoteResponse(generation.FromPeer)
	}
	return manager
}

// Current returns the snapshot in force, or nil before the first one.
func (m *Manager) Current() *snapshot.Snapshot {
	if current := m.current.Load(); current != nil {
		return current.snapshot
	}
	return nil
}

// Subscribe calls onChange with the current snapshot, if there is one, and with
// each later one, in order and one at a time.
func (m *Manager) Subscribe(onChange func(*snapshot.Snapshot)) {
	m.notifyMu.Lock()
	defer m.notifyMu.Unlock()
	m.mu.Lock()
	m.subscribers = append(m.subscribers, onChange)
	m.mu.Unlock()
	if current := m.Current(); current != nil {
		onChange(current)
	}
}

// ApplyConfig puts a snapshot in force that did not come from the platform, for
// example in a test. Its generation must be above the one in force.
func (m *Manager) ApplyConfig(root document.Root, shards map[string][]byte) error {
	content, id, err := encodeRoot(root)
	if err != nil {
		return err
	}
	snap, err := snapshot.Compile(root, id.Digest, shards, m.Current())
	if err != nil {
		return err
	}
	m.putInForce(&candidate{id: id, root: root, content: content}, snap)
	return nil
}

// Run keeps the configuration up to date until the context is done.
func (m *Manager) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { m.watchPlatform(ctx) })
	for index := range maxParents {
		group.Go(func() { m.pollParent(ctx, index) })
	}
	group.Go(func() { m.catchUp(ctx) })
	group.Go(func() { m.applyNewest(ctx) })
	group.Wait()
	return ctx.Err()
}

// jitter returns a random wait with the given mean.
func (m *Manager) jitter(mean time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return generation.Jitter(m.options.Random, mean)
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
