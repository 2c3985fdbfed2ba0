package forwarding

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"
)

// pollInterval is how often Await checks whether the requests have finished.
const pollInterval = 20 * time.Millisecond

// InProgress counts the requests of other VMs that are being served. Its zero value is ready.
type InProgress struct {
	count  atomic.Int64
	closed atomic.Bool
}

// Begin counts one more; ok is false when there are as many as the limit allows, which is
// zero for none, or after Close. The returned function must be called once the request has ended.
func (i *InProgress) Begin(limit int64) (end func(), ok bool) {
	// The count comes first, so that an Await after Close sees each request that Close let pass.
	if now := i.count.Add(1); limit > 0 && now > limit || i.closed.Load() {
		i.count.Add(-1)
		return nil, false
	}
	return func() { i.count.Add(-1) }, true
}

// Close makes Begin refuse all requests from now on.
func (i *InProgress) Close() { i.closed.Store(true) }

// Await waits until no request is in progress.
func (i *InProgress) Await(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for i.count.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("finish %d requests of other VMs: %w", i.count.Load(), ctx.Err())
		}
	}
	return nil
}
