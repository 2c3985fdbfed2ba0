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

// Evidence of failed connections, in nats.
const (
	// connectRefusedNats is the evidence of a connection that the target's host refused.
	connectRefusedNats = 3.0
	// connectFailedNats is the evidence of a connection that failed in another way;
	// the fault may lie in the network path.
	connectFailedNats = 0.7
)

// evaluate converts the result of an attempt to evidence; the lock is held.
func (a *Attempt) evaluate(result Result, now time.Duration) evidence.AttemptEvidence {
	outcome := evidence.AttemptEvidence{Target: a.target.info.ID, Load: result.Load, RefusedFull: result.RefusedFull, FailureNats: suspicion.FailureNats(result.End), ShedNats: suspicion.ShedNats(result.End)}
	inDoubt := a.pathInDoubt(result, now)
	if inDoubt || result.End == suspicion.ResultTimedOut && a.isPathSilent(now) {
		outcome.FailureNats = 0
	}
	if result.Err != nil && !result.Sent && result.End != suspicion.ResultNeutral {
		a.markUnreachable(result.Err, true)
		if inDoubt {
			return outcome
		}
		outcome.FailureNats = connectFailedNats
		if errors.Is(result.Err, syscall.ECONNREFUSED) {
			outcome.FailureNats = connectRefusedNats
		}
		return outcome
	}
	if result.End == suspicion.ResultTimedOut {
		a.markUnreachable(result.Err, false)
	}
	if result.End == suspicion.ResultServed && !a.overdueReported {
		outcome.SlowNats = a.evaluateDuration(now, result.Load)
	}
	if a.isSuperseded(result) {
		outcome.SlowNats = a.evaluateSuperseded(result.Load)
	}
	return outcome
}

// isPathSilent reports whether a missing response is no evidence against the attempt's target, since
// the path from this VM may be at fault: the target has answered another VM since the attempt began,
// and no target of the service has answered this VM for the attempt's silence limit. The lock is
// held.
func (a *Attempt) isPathSilent(now time.Duration) bool {
	return a.target.lastServedAt > a.startedAt && now-a.service.answeredHereAt() >= a.silenceLimit
}

// evaluateDuration returns the evidence of slowness in an attempt's duration and
// adds the duration to the reference of the route; the lock is held. An attempt
// that had to wait for a slot gives no evidence about the target itself.
func (a *Attempt) evaluateDuration(now time.Duration, load *dialect.Load) float64 {
	elapsed := now - a.startedAt
	reference := a.service.reference(a.route)
	warm := now >= a.target.info.WarmUntil
	if waitInAttempts := a.candidate.WaitInAttempts(); waitInAttempts > 0 || (load != nil && load.Waiting > 0) {
		if warm && !a.target.suspect(now) {
			overallServiceTime := a.service.overall.MeanServiceTime(defaultAttemptDuration)
			routeServiceTime := reference.MeanServiceTime(overallServiceTime)
			reference.AddWaited(elapsed, float64(routeServiceTime)/(float64(routeServiceTime)+waitInAttempts*float64(overallServiceTime)))
			a.service.overall.AddWaited(elapsed, 1/(1+waitInAttempts))
		}
		return 0
	}
	nats := 0.0
	if warm {
		nats = reference.SlowNats(elapsed)
	}
	if !a.target.suspect(now) {
		reference.Add(elapsed)
		a.service.overall.Add(elapsed)
	}
	return nats
}

// markUnreachable excludes the target from attempts of this VM until a
// connection opens, unless the attempt was canceled; connectFailed is true when no connection
// opened for it. The lock is held.
func (a *Attempt) markUnreachable(cause error, connectFailed bool) {
	var failure *contract.RoundTripError
	if errors.As(cause, &failure) && failure.Kind == contract.AttemptCanceled {
		return
	}
	a.target.connectFailed = a.target.connectFailed || connectFailed
	if !a.target.unreachable {
		a.target.unreachable = true
		events.TargetUnreachable.Log(a.manager.options.Logger, "target", a.target.info.ID,
			"service", a.target.info.Service, "cause", cause)
	}
}
