package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/targetset"
	"github.com/primroseloom/primroseloom/policy/hedge"
)

// errSuperseded cancels an attempt because the other one of its request has won.
var errSuperseded = errors.New("the other attempt of the request responded first")

// race is an attempt in progress and the second one beside it, if there is one. The first
// attempt runs in the goroutine of the request, the second in its own.
type race struct {
	q     *request
	ctx   context.Context
	first *targetset.Attempt
	// cancelFirst and cancelSecond end the attempts.
	cancelFirst, cancelSecond context.CancelCauseFunc

	mu    sync.Mutex
	timer *time.Timer
	// isOver is true once no second attempt may begin or win any more: the first one has ended.
	isOver bool
	// second is the second attempt, nil before it begins; secondEnded is closed when it has
	// ended, with the result secondResult.
	second       *targetset.Attempt
	secondEnded  chan struct{}
	secondResult decision
	// secondWon is true once the second attempt has served the request before the first ended.
	secondWon bool
	// notMade is why there is no second attempt although the first one is slow.
	notMade hedge.Reason
}

// runHedged runs an attempt and, when that is slow and hedging is allowed, a second one beside
// it at another target. It returns the attempt that decides on the request: the first one
// with a response that serves it, otherwise the first attempt.
func (q *request) runHedged(ctx context.Context, attempt *targetset.Attempt, body *bodyReader) (*targetset.Attempt, decision) {
	if q.hedgeable(false) != hedge.Allowed {
		return attempt, q.runAttempt(ctx, attempt, body)
	}
	after := q.gateway.options.Targets.HedgeAfter(attempt)
	if after == 0 {
		return attempt, q.runAttempt(ctx, attempt, body)
	}
	r := &race{q: q, ctx: ctx, first: attempt, notMade: hedge.TooEarly}
	ctx, r.cancelFirst = context.WithCancelCause(ctx)
	r.considerAfter(after)
	return r.finish(q.runAttempt(ctx, attempt, body))
}

// hedgeable returns hedge.Allowed when the request may be hedged at all.
func (q *request) hedgeable(crashSuspect bool) hedge.Reason {
	return hedge.Eligible(hedge.Request{
		Idempotent:      q.route.Kind.Idempotent(),
		BodyHeld:        q.body.rest == nil,
		Hedged:          q.isHedged,
		Attempts:        q.sentAttempts + 1,
		AttemptsAllowed: q.route.MaxAttempts,
		CrashSuspect:    crashSuspect,
	})
}

// mayCrashTargets reports whether a target may have crashed on the request.
func (q *request) mayCrashTargets() bool {
	remaining, _ := q.gateway.options.Crashes.Refused(q.identity)
	return remaining > 0 || q.gateway.options.Crashes.Suspected(q.identity)
}

// consider begins the second attempt if that is allowed now.
func (r *race) consider() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOver {
		return
	}
	if reason := r.q.hedgeable(r.q.mayCrashTargets()); reason != hedge.Allowed {
		r.notMade = reason
		return
	}
	answer := r.q.gateway.options.Targets.Hedge(r.first, r.q.placementRequest())
	r.notMade = answer.Reason
	switch {
	case answer.Second != nil:
		r.begin(answer.Second)
	case answer.Again > 0:
		r.timer.Reset(answer.Again)
	}
}

// considerAfter considers a second attempt after a time.
func (r *race) considerAfter(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timer = time.AfterFunc(after, r.consider)
}

// begin begins the second attempt; the lock is held. The body is opened here: once the first
// attempt has ended, it may have been discarded.
func (r *race) begin(second *targetset.Attempt) {
	r.q.gateway.metrics.hedged()
	r.second, r.secondEnded = second, make(chan struct{})
	var ctx context.Context
	ctx, r.cancelSecond = context.WithCancelCause(r.ctx)
	go r.runSecond(ctx, r.q.body.open())
}

// runSecond runs the second attempt, which wins if it serves the request while the first one
// runs. Its response is discarded when the first one has won.
func (r *race) runSecond(ctx context.Context, body *bodyReader) {
	d := r.q.runAttempt(ctx, r.second, body)
	r.mu.Lock()
	defer r.mu.Unlock()
	defer close(r.secondEnded)
	r.secondResult = d
	if d.isServed() && !r.isOver {
		r.secondWon = true
		r.first.Supersede()
		r.cancelFirst(errSuperseded)
	}
}

// finish returns the attempt that decides on the request, given the result of the first one.
func (r *race) finish(d decision) (*targetset.Attempt, decision) {
	if !r.end() {
		return r.first, d
	}
	switch {
	case r.secondWon:
		discard(d)
		r.logWon()
		return r.second, r.secondResult
	case d.isServed():
		r.abandonSecond()
		return r.first, d
	}
	<-r.secondEnded // it ends at the latest when the request's time is up
	if r.secondResult.isServed() {
		r.q.recordFailedAttempt(r.first, d)
		r.logWon()
		return r.second, r.secondResult
	}
	r.q.recordFailedAttempt(r.second, r.secondResult)
	d.lost = d.lost || r.secondResult.lost
	return r.first, d
}

// end ends the time in which a second attempt may begin, and reports whether one has.
func (r *race) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isOver = true
	if r.timer != nil {
		r.timer.Stop()
	}
	if r.second == nil {
		if r.notMade != hedge.TooEarly {
			r.q.gateway.metrics.notHedged(r.notMade)
		}
		return false
	}
	r.q.isHedged = true
	return true
}

// abandonSecond cancels the second attempt because the first one has won. Its response, if it
// still gets one, is discarded.
func (r *race) abandonSecond() {
	select {
	case <-r.secondEnded:
		r.secondLost()
	default:
		r.second.Supersede()
		r.cancelSecond(errSuperseded)
		go func() {
			<-r.secondEnded
			discard(r.secondResult)
		}()
	}
}

// secondLost records a second attempt that ended before the first one won.
func (r *race) secondLost() {
	if r.secondResult.isServed() {
		discard(r.secondResult)
		return
	}
	r.q.recordFailedAttempt(r.second, r.secondResult)
}

func (r *race) logWon() {
	r.q.gateway.metrics.hedgeWon()
	events.HedgeWon.Log(r.q.gateway.options.Logger, "request", r.q.metadata.AttemptID, "route", r.q.route.Name,
		"first", r.first.ID(), "second", r.second.ID(), "after_ms", time.Since(r.q.start).Milliseconds())
}

// discard ends the attempt of a response that reaches no caller.
func discard(d decision) {
	if d.response != nil {
		d.response.discard()
	}
}
