// Package config keeps the configuration snapshot in force.
package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/snapshot"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
)

const (
	watchWait    = 10 * time.Second
	retryBackoff = 500 * time.Millisecond
)

// Manager implements contract.Configuration.
type Manager struct {
	platform contract.Platform
	logger   *log.Logger
	current  atomic.Pointer[snapshot.Snapshot]

	mu          sync.Mutex
	subscribers []func(*snapshot.Snapshot)
}

// New returns a manager without a snapshot.
func New(platform contract.Platform, logger *log.Logger) *Manager {
	return &Manager{platform: platform, logger: logger}
}

// Current returns the snapshot in force, or nil.
func (m *Manager) Current() *snapshot.Snapshot { return m.current.Load() }

// Subscribe calls back with the present and each later snapshot.
func (m *Manager) Subscribe(onChange func(*snapshot.Snapshot)) {
	m.mu.Lock()
	m.subscribers = append(m.subscribers, onChange)
	m.mu.Unlock()
	if current := m.Current(); current != nil {
		onChange(current)
	}
}

// Run watches the root until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	var version uint64
	for ctx.Err() == nil {
		value, err := m.platform.Watch(ctx, document.RootKey, version, watchWait)
		if err == nil && value.Version != version {
			err = m.apply(ctx, value.Content)
		}
		if err != nil {
			events.PlatformReadFailed.Log(m.logger, "error", err)
			pause(ctx, retryBackoff)
			continue
		}
		version = value.Version
	}
	return ctx.Err()
}

func (m *Manager) apply(ctx context.Context, content []byte) error {
	var root document.Root
	if err := json.Unmarshal(content, &root); err != nil {
		return fmt.Errorf("parse root: %w", err)
	}
	previous := m.Current()
	if previous != nil && root.Generation <= previous.Generation {
		return nil
	}
	shards := make([]document.Shard, 0, len(root.Shards))
	for _, ref := range root.Shards {
		shard, err := m.fetch(ctx, ref)
		if err != nil {
			return err
		}
		shards = append(shards, shard)
	}
	snap := snapshot.Build(root.Generation, shards, previous)
	m.current.Store(snap)
	events.ConfigurationInForce.Log(m.logger, "generation", snap.Generation, "customers", snap.Customers())
	m.mu.Lock()
	subscribers := m.subscribers
	m.mu.Unlock()
	for _, onChange := range subscribers {
		onChange(snap)
	}
	return nil
}

func (m *Manager) fetch(ctx context.Context, ref document.ShardRef) (document.Shard, error) {
	var shard document.Shard
	value, err := m.platform.Read(ctx, document.ShardKeyPrefix+ref.Digest)
	if err != nil {
		return shard, fmt.Errorf("fetch shard %s: %w", ref.Digest, err)
	}
	sum := sha256.Sum256(value.Content)
	if hex.EncodeToString(sum[:]) != ref.Digest {
		return shard, fmt.Errorf("fetch shard %s: content has another digest", ref.Digest)
	}
	if err := json.Unmarshal(value.Content, &shard); err != nil {
		return shard, fmt.Errorf("parse shard %s: %w", ref.Digest, err)
	}
	return shard, nil
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
