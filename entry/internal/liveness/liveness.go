// Package liveness finds out whether a target that ended an attempt without a
// complete response still runs, by connecting to it. A target that refuses
// connections has ended. One that does not answer may have ended, or the network path
// may be at fault; other targets then serve as a control.
package liveness

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
)

const (
	// connectTimeout bounds one connection attempt.
	connectTimeout = 250 * time.Millisecond
	// Interval is the pause between two connection attempts to one target.
	Interval = 250 * time.Millisecond
	// maxConnects is the number of connection attempts without success after which the
	// target counts as crashed or silent. A target with too many connections may refuse
	// a single one.
	maxConnects = 3
	// MaxControls is the number of other targets, one of which must accept a connection
	// before a finding counts against a target and not against this VM's own network
	// path.
	MaxControls = 3
)

// Finding is what connection attempts showed about a target.
type Finding int

// The findings.
const (
	// None means that nothing is known yet, or that this VM reaches no target.
	None Finding = iota
	Alive
	Silent
	Crashed
)

// String returns the finding as a metric label.
func (f Finding) String() string {
	return [...]string{"none", "alive", "silent", "crashed"}[f]
}

// Check connects to the target at an address, and to the controls, the addresses of
// other targets, when it does not accept a connection. Without controls, the finding
// counts as it is.
func Check(ctx context.Context, network contract.Network, address string, controls []string) Finding {
	refusals := 0
	for i := range maxConnects {
		if i > 0 && !pause.For(ctx, Interval) {
			return None
		}
		err := connect(ctx, network, address)
		if err == nil {
			return Alive
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusals++
		}
	}
	switch {
	case !reachesAny(ctx, network, controls):
		return None
	case refusals > 0:
		return Crashed
	}
	return Silent
}

// connect opens a connection and closes it.
func connect(ctx context.Context, network contract.Network, address string) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := network.DialContext(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("check target at %s: %w", address, err)
	}
	_ = conn.Close()
	return nil
}

// reachesAny reports whether one of the addresses accepts a connection, or there is
// none.
func reachesAny(ctx context.Context, network contract.Network, addresses []string) bool {
	for _, address := range addresses {
		if connect(ctx, network, address) == nil {
			return true
		}
	}
	return len(addresses) == 0
}
