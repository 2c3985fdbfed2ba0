package follow

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/freshness"
)

// askResult is how a call to a peer ended; the best of a round is the highest.
type askResult int

// Results of calls.
const (
	// askFailed means that the peer was not reached.
	askFailed askResult = iota
	// askUnknown means that the peer is of a build without this call.
	askUnknown
	// askAnswered means that the peer answered and did not confirm the routes well enough.
	askAnswered
	// askConfirmed ends the round.
	askConfirmed
)

// intervalAfter returns the time until the next round, by the best result of one round. It is
// short while no peer is reached, so that one is found among many behind a cut, but not while
// peers answer that they cannot confirm the routes, as all do while the store is down.
func intervalAfter(best askResult, peers int, compared bool) time.Duration {
	isSearching := peers > 0 && best == askFailed
	isComparing := !compared && best != askUnknown
	if isSearching || isComparing {
		return shortAskInterval
	}
	return askInterval
}

// ask calls peers until one has confirmed the routes, and returns the best result. The next peer
// is called when one has failed or has not answered for nextPeerDelay; a later answer still
// counts.
func (f *Follower) ask(ctx context.Context, vms []string) (best askResult) {
	calls, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan askResult, len(vms))
	for next, pending, answers := 0, 0, 0; ; {
		delay := askTimeout
		if next < len(vms) && answers < maxAnswers {
			vm := vms[next]
			go func() { results <- f.askOne(calls, vm) }()
			next, pending, delay = next+1, pending+1, nextPeerDelay
		}
		if pending == 0 {
			return best
		}
		timer := time.NewTimer(delay)
		select {
		case result := <-results:
			pending--
			best = max(best, result)
			if result >= askAnswered {
				answers++
			}
		case <-timer.C:
		}
		timer.Stop()
		if best == askConfirmed {
			return best
		}
	}
}

// askOne calls one peer.
func (f *Follower) askOne(ctx context.Context, vm string) askResult {
	sent := f.options.Uptime()
	answer, newest, err := f.options.Peers.confirm(ctx, vm, f.RoutesVersion())
	if err != nil {
		return f.recordAskFailure(vm, err, ctx.Err() != nil)
	}
	if newest != nil {
		f.applyNewestRoutes(*newest)
	}
	return f.recordAnswer(vm, answer, sent)
}

// recordAnswer records a peer's answer to a call that was sent at an uptime.
func (f *Follower) recordAnswer(vm string, answer freshness.Answer, sent time.Duration) askResult {
	f.options.Scope.Counter("confirmations_answered").Inc(1)
	f.keys.mu.Lock()
	defer f.keys.mu.Unlock()
	f.keys.asksFail = false
	f.keys.state.ConfirmedByPeer(vm, answer, sent)
	if f.keys.state.HasEnough(f.options.Uptime()) {
		return askConfirmed
	}
	return askAnswered
}

// recordAskFailure records that a peer did not answer, or not before another one whose answer
// ended the round. Only the first failure in a row is logged.
func (f *Follower) recordAskFailure(vm string, cause error, isOvertaken bool) askResult {
	f.options.Scope.Counter("confirmations_failed").Inc(1)
	result, avoid := askFailed, failedTime
	switch {
	case connect.CodeOf(cause) == connect.CodeUnimplemented:
		result, avoid = askUnknown, olderBuildTime
	case !isOvertaken && f.options.Unreachable != nil:
		f.options.Unreachable(vm)
	}
	f.keys.mu.Lock()
	f.keys.peers.avoidUntil[vm] = f.options.Uptime() + avoid
	isFirst := !f.keys.asksFail && !isOvertaken
	f.keys.asksFail = f.keys.asksFail || isFirst
	f.keys.mu.Unlock()
	if isFirst {
		events.ConfirmationFailed.Log(f.options.Logger, "peer", vm, "version", f.RoutesVersion(), "cause", cause)
	}
	return result
}
