package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// shardsTimeout bounds the wait for each shard from a peer.
	shardsTimeout = 700 * time.Millisecond
	// maxPlatformFirstShards is the number of missing shards up to which a reader
	// that has the root from the platform fetches them there before it tries peers.
	maxPlatformFirstShards = 16
	// maxShardPeers bounds the peers from which the shards of a root are requested.
	maxShardPeers = 3
	// maxStaged bounds the shards staged for roots that are not in force.
	maxStaged = 2 * document.MaxShards
)

// fetchMissing stages every shard of a root that the snapshot in force lacks. It
// tries the peer that offered the root, other members that have it in force, and
// then the platform. A reader that has the root from the platform and lacks few
// shards begins with the platform.
func (m *Manager) fetchMissing(ctx context.Context, next *candidate) error {
	if len(m.staged) > maxStaged {
		clear(m.staged)
	}
	sources := []func(context.Context, *candidate) error{m.fetchFromPeers, m.fetchAllFromPlatform}
	if next.peer == "" && m.currentRole().Reader && len(m.missing(next)) <= maxPlatformFirstShards {
		slices.Reverse(sources)
	}
	var failures []error
	for _, fetch := range sources {
		failures = append(failures, fetch(ctx, next))
		if len(m.missing(next)) == 0 {
			return nil
		}
	}
	return errors.Join(append(failures, errShardsMissing)...)
}

// fetchFromPeers requests shards from one member after another until none is
// missing.
func (m *Manager) fetchFromPeers(ctx context.Context, next *candidate) error {
	var failures []error
	for _, vm := range m.shardPeers(next) {
		missing := m.missing(next)
		if len(missing) == 0 {
			return nil
		}
		failures = append(failures, m.fetchFromPeer(ctx, vm, missing))
	}
	return errors.Join(failures...)
}

// fetchAllFromPlatform fetches each missing shard from the platform.
func (m *Manager) fetchAllFromPlatform(ctx context.Context, next *candidate) error {
	for _, ref := range m.missing(next) {
		if err := m.fetchFromPlatform(ctx, ref, next.replica); err != nil {
			return err
		}
	}
	return nil
}

// shardPeers returns the members from which to request shards: the one that
// offered the root first, then others in random order.
func (m *Manager) shardPeers(next *candidate) []string {
	_, vms := m.membersAhead(next.id.Generation - 1)
	m.mu.Lock()
	m.options.Random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	m.mu.Unlock()
	peers := make([]string, 0, maxShardPeers)
	if next.peer != "" {
		peers = append(peers, next.peer)
	}
	for _, vm := range vms {
		if vm != next.peer && len(peers) < maxShardPeers {
			peers = append(peers, vm)
		}
	}
	return peers
}

// fetchFromPeer stages those of the given shards that a member has.
func (m *Manager) fetchFromPeer(ctx context.Context, vm string, refs []document.ShardRef) error {
	client, ok := m.options.Members.Client(vm)
	if !ok {
		return fmt.Errorf("fetch shards from %s: no such member", vm)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(shardsTimeout, cancel)
	defer idleTimer.Stop()
	wanted := make(map[string]document.ShardRef, len(refs))
	request := &primroseloomv1.FetchShardsRequest{Fleet: m.options.Fleet}
	for _, ref := range refs {
		wanted[ref.Digest] = ref
		request.Digests = append(request.Digests, ref.Digest)
	}
	stream, err := client.FetchShards(ctx, connect.NewRequest(request))
	if err != nil {
		return fmt.Errorf("fetch shards from %s: %w", vm, err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		idleTimer.Reset(shardsTimeout)
		ref, ok := wanted[stream.Msg().Digest]
		if !ok {
			return fmt.Errorf("fetch shards from %s: shard %s was not requested", vm, stream.Msg().Digest)
		}
		if err := m.stage(ref, stream.Msg().Content); err != nil {
			return fmt.Errorf("fetch shards from %s: %w", vm, err)
		}
		m.metrics.shardsFromPeers.Inc(1)
	}
	if err := stream.Err(); err != nil {
		return fmt.Errorf("fetch shards from %s: %w", vm, err)
	}
	return nil
}

// fetchFromPlatform stages one shard from the first replica that returns it,
// beginning with the given one.
func (m *Manager) fetchFromPlatform(ctx context.Context, ref document.ShardRef, replica int) error {
	var failures []error
	for i := range m.options.Source.Replicas() {
		m.waitForBudget(ctx, m.currentRole())
		m.metrics.shardCalls.Inc(1)
		at := (replica + i) % m.options.Source.Replicas()
		value, err := m.options.Source.ReadAt(ctx, at, document.ShardKeyPrefix+ref.Digest)
		if err == nil {
			err = m.stage(ref, value.Content)
		}
		if err == nil {
			m.metrics.shardsFromPlatform.Inc(1)
			return nil
		}
		m.metrics.platformFailures.Inc(1)
		failures = append(failures, err)
	}
	return errors.Join(failures...)
}

// stage stores a shard after checking its size and digest.
func (m *Manager) stage(ref document.ShardRef, content []byte) error {
	if len(content) != ref.Size || document.Digest(content) != ref.Digest {
		m.metrics.malformedShards.Inc(1)
		return fmt.Errorf("shard %s: %w: content has another size or digest", ref.Digest, document.ErrMalformed)
	}
	m.staged[ref.Digest] = content
	return nil
}
