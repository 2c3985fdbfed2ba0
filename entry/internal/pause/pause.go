// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits for a time and reports whether it passed before the context ended.
func For(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
