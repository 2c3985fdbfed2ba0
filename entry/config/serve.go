package config

import (
	"context"
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/policy/generation"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

const (
	// maxHeldPolls bounds the polls that are held back at a time; further ones
	// are answered at once.
	maxHeldPolls = 256
	// maxPollWait bounds the time that a poll is held back.
	maxPollWait = 10 * time.Second
)

// FetchRoot answers a peer with the root in force when it is newer than the
// one the peer knows. Otherwise the answer is held back for the wait that the
// peer allows.
func (m *Manager) FetchRoot(ctx context.Context, request *primroseloomv1.FetchRootRequest) (*primroseloomv1.FetchRootResponse, error) {
	known := generation.Root{Generation: request.KnownGeneration, Digest: request.KnownDigest}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxPollWait)
	if wait > 0 {
		m.holdBack(ctx, known, wait)
	}
	response := &primroseloomv1.FetchRootResponse{
		ConfirmedAgeMs: uint64(m.confirmedAge().Milliseconds()),
		Reader:         m.currentRole().Reader,
	}
	present := m.current.Load()
	if present == nil {
		return response, nil
	}
	response.Generation = present.snapshot.Generation
	if generation.Compare(present.id(), known) > 0 {
		response.Root = present.root
	}
	return response, nil
}

// holdBack waits until a root after the known one is in force.
func (m *Manager) holdBack(ctx context.Context, known generation.Root, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waiting >= maxHeldPolls {
		m.metrics.pollsRefused.Inc(1)
		return
	}
	m.waiting++
	defer func() { m.waiting-- }()
	for ctx.Err() == nil {
		if present := m.current.Load(); present != nil && generation.Compare(present.id(), known) > 0 {
			return
		}
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
		m.mu.Lock()
	}
}

// FetchShards sends the shards of the snapshot in force among the given
// digests; those that it does not hold are left out.
func (m *Manager) FetchShards(ctx context.Context, request *primroseloomv1.FetchShardsRequest, send func(*primroseloomv1.FetchShardsResponse) error) error {
	if len(request.Digests) > document.MaxShards {
		return fmt.Errorf("fetch shards: %d digests, at most %d", len(request.Digests), document.MaxShards)
	}
	current := m.Current()
	if current == nil {
		return nil
	}
	for _, digest := range request.Digests {
		content, ok := current.Shard(digest)
		if !ok {
			continue
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := send(&primroseloomv1.FetchShardsResponse{Digest: digest, Content: content}); err != nil {
			return fmt.Errorf("send shard %s: %w", digest, err)
		}
	}
	return nil
}
