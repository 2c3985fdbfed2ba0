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
	// maxWaitingPolls bounds the long polls held open at a time; the response to
	// any further poll is sent at once.
	maxWaitingPolls = 256
	// maxPollWait bounds the time for which a poll is held open.
	maxPollWait = 10 * time.Second
)

// FetchRoot responds to a peer with the root in force when it is newer than the
// one the peer knows. Until it is, the poll is held open for at most the wait
// that the peer allows.
func (m *Manager) FetchRoot(ctx context.Context, request *primroseloomv1.FetchRootRequest) (*primroseloomv1.FetchRootResponse, error) {
	known := generation.Root{Generation: request.KnownGeneration, Digest: request.KnownDigest}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxPollWait)
	if wait > 0 {
		m.waitForNewerRoot(ctx, known, wait)
	}
	response := &primroseloomv1.FetchRootResponse{
		ConfirmedAgeMs: uint64(m.confirmedAge().Milliseconds()),
		Reader:         m.currentRole().Reader,
	}
	current := m.current.Load()
	if current == nil {
		return response, nil
	}
	response.Generation = current.snapshot.Generation
	if generation.Compare(current.id(), known) > 0 {
		response.Root = current.root
	}
	return response, nil
}

// waitForNewerRoot waits until a root newer than the known one is in force. It
// returns at once when maxWaitingPolls are held open.
func (m *Manager) waitForNewerRoot(ctx context.Context, known generation.Root, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.waitingPolls >= maxWaitingPolls {
		m.metrics.pollsNotHeld.Inc(1)
		return
	}
	m.waitingPolls++
	defer func() { m.waitingPolls-- }()
	for ctx.Err() == nil {
		if current := m.current.Load(); current != nil && generation.Compare(current.id(), known) > 0 {
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

// FetchShards sends the requested shards that are in the snapshot in force, and
// leaves out the others.
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
