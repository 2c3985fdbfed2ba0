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

// Source reads the replicas of the platform one by one.
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

// Options are what a manager works with.
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
	// Random spreads calls in time; the manager owns it.
	Random *rand.Rand
}

// candidate is a root that may be put in force.
type candidate struct {
	id      generation.Root
	root    document.Root
	content []byte
	// peer is the VM that offered the root; empty for the platform.
	peer string
	// replica is the platform's replica that offered the root.
	replica int
	// failures counts the attempts to put the root in force.
	failures int
}

// inForce is a snapshot together with the root as published.
type inForce struct {
	snapshot *snapshot.Snapshot
	root     []byte
}

// id names the root in force.
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
	// newest is the candidate of the decider's newest root.
	newest    *candidate
	budget    generation.Budget
	confirmed time.Time
	problem   string
	// changed closes when another snapshot is in force.
	changed     chan struct{}
	subscribers []func(*snapshot.Snapshot)
	waiting     int
	role        generation.Role
	roleUntil   time.Time

	// wake tells the applying goroutine that there is a newer root.
	wake chan struct{}
	// notifying orders the calls of subscribers.
	notifying sync.Mutex
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
		options:   options,
		metrics:   newCounters(options.Scope),
		decider:   generation.NewDecider(now),
		confirmed: now,
		changed:   make(chan struct{}),
		wake:      make(chan struct{}, 1),
		staged:    make(map[string][]byte),
	}
	if !options.ExpectsPeers {
		manager.decider.NoteResponse(generation.FromPeer)
	}
	return manager
}

// Current returns the snapshot in force, or nil before the first one.
func (m *Manager) Current() *snapshot.Snapshot {
	if present := m.current.Load(); present != nil {
		return present.snapshot
	}
	return nil
}

// Subscribe calls back with the present and each later snapshot, in order and
// one at a time.
func (m *Manager) Subscribe(onChange func(*snapshot.Snapshot)) {
	m.notifying.Lock()
	defer m.notifying.Unlock()
	m.mu.Lock()
	m.subscribers = append(m.subscribers, onChange)
	m.mu.Unlock()
	if current := m.Current(); current != nil {
		onChange(current)
	}
}

// ApplyConfig puts a snapshot in force that did not come from the platform,
// such as one of a test; the generation must grow.
func (m *Manager) ApplyConfig(root document.Root, shards map[string][]byte) error {
	content, id, err := identify(root)
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

// Run keeps the configuration current until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { m.watchPlatform(ctx) })
	for place := range maxParents {
		group.Go(func() { m.pollParent(ctx, place) })
	}
	group.Go(func() { m.catchUp(ctx) })
	group.Go(func() { m.applyNewest(ctx) })
	group.Wait()
	return ctx.Err()
}

// jitter spreads a mean wait.
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
