package targetset

import (
	"errors"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// Evidence of failed connections.
const (
	// refusedNats is the evidence of a connection that the target's machine refused.
	refusedNats = 3.0
	// unreachedNats is the evidence of one that did not open; the path may be at fault.
	unreachedNats = 0.7
)

// judge turns the result into evidence; the lock is held.
func (a *Attempt) judge(result Result, now time.Duration) evidence.Outcome {
	outcome := evidence.Outcome{Target: a.target.info.ID, Load: result.Load, FailureNats: suspicion.FailureNats(result.End), ShedNats: suspicion.ShedNats(result.End)}
	if result.Err != nil && !result.Sent && result.End != suspicion.EndNeutral {
		a.cannotConnect(result.Err)
		outcome.FailureNats = unreachedNats
		if errors.Is(result.Err, syscall.ECONNREFUSED) {
			outcome.FailureNats = refusedNats
		}
		return outcome
	}
	if result.End == suspicion.EndSilent {
		a.cannotConnect(result.Err)
	}
	if result.End == suspicion.EndServed && !a.told {
		outcome.SlowNats = a.judgeDuration(now, result.Load)
	}
	return outcome
}

// judgeDuration compares an answer's duration with the usual one and learns
// from it; the lock is held. An attempt that had to wait for a slot says nothing
// about the target itself.
func (a *Attempt) judgeDuration(now time.Duration, load *dialect.Load) float64 {
	took := now - a.began
	usual := a.service.reference(a.route)
	warm := now >= a.target.info.WarmAt
	if turns := a.chosen.WaitInAttempts(); turns > 0 || (load != nil && load.Waiting > 0) {
		if warm && !a.target.suspect(now) {
			queued := a.service.overall.Mean(defaultWork)
			own := usual.Mean(queued)
			usual.AddWaited(took, float64(own)/(float64(own)+turns*float64(queued)))
			a.service.overall.AddWaited(took, 1/(1+turns))
		}
		return 0
	}
	nats := 0.0
	if warm {
		nats = usual.SlowNats(took)
	}
	if !a.target.suspect(now) {
		usual.Add(took)
		a.service.overall.Add(took)
	}
	return nats
}

// cannotConnect leaves the target out here until a connection opens; the lock is held.
func (a *Attempt) cannotConnect(cause error) {
	var failure *contract.RoundTripError
	if errors.As(cause, &failure) && failure.Kind == contract.AttemptCanceled {
		return
	}
	if !a.target.unreachable {
		a.target.unreachable = true
		events.TargetUnreached.Log(a.manager.options.Logger, "target", a.target.info.ID,
			"service", a.target.info.Service, "cause", cause)
	}
}
