package targetset

import (
	"net/http"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/breaker"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// Bounds on trials and explorations.
const (
	// minTrialBudget is the retry budget that must be left before a trial, which
	// spends the budget of the retry that follows if it fails.
	minTrialBudget = 2
	// explorationsPerRequest is the exploration credit that each request earns. An
	// exploration sends an attempt to a target that had none for a long time,
	// whatever its record.
	explorationsPerRequest = 0.07
	// explorationsPerSuspectShare is the additional credit for each request, multiplied by the
	// share of the targets that are suspects beyond fewSuspectsShare: only when many are does
	// the service depend on those that have recovered, and each exploration may fail.
	explorationsPerSuspectShare, fewSuspectsShare = 0.6, 0.35
	// exploreCost is the credit that an exploration costs, onceSuspectCost that of a suspect by a
	// request that must not run twice: such a request cannot be retried if the target fails.
	exploreCost, onceSuspectCost = 1, 3
	// maxExplorationCredit bounds the credit that can be saved up.
	maxExplorationCredit = 6
	// defaultAttemptDuration is assumed until enough attempts were measured.
	defaultAttemptDuration = 150 * time.Millisecond
)

// AttemptRequest describes the attempt for which a target is wanted.
type AttemptRequest struct {
	Service string
	Route   *routing.Route
	// Priority is the rank of the request; 0 is served first.
	Priority int
	// Customer is the name of the authenticated customer; empty when there is none.
	Customer string
	// Bytes is the size of the request's body.
	Bytes int64
	// Remaining is the time until the final response is due, Useful the time in
	// which a response has its full value.
	Remaining, Useful time.Duration
	// Attempted names the targets of earlier attempts.
	Attempted []string
	// SentAttempts is the number of earlier attempts that reached a target.
	SentAttempts int
	// IsForwarded is true when another VM forwards the request.
	IsForwarded bool
	// RetryPaid is true when an earlier attempt has spent the retry budget for this one.
	RetryPaid bool
}

// Attempt is one request on its way to one target.
type Attempt struct {
	manager *Manager
	service *service
	target  *target
	// info is the target as it was published when it was chosen.
	info      roster.Target
	route     string
	startedAt time.Duration
	trial     bool
	// bytes is the size of the request's body.
	bytes int64
	// candidate is the target as it was when it was chosen.
	candidate       placement.Candidate
	overdue         *time.Timer
	overdueReported bool
	// idempotent is true when the request may run more than once, openConnectionOnly when no
	// connection may be opened for it.
	idempotent, openConnectionOnly bool
	// abandon ends the attempt when the path to its target is at fault; nil for none. mayFollow
	// reports whether another attempt can follow then.
	abandon   func()
	mayFollow func() bool
	// silence examines the attempt while it has no response, from silenceLimit after the last
	// write of its request on, which trip tells.
	silence      *time.Timer
	silenceLimit time.Duration
	trip         *contract.RoundTrip
	// responded is true once the head of the response was read, ended once Done was called.
	responded, ended bool
	// isHedge is true for the second attempt of a request whose first one is in progress.
	isHedge bool
	// supersededAt is the uptime at which the other attempt of the request won; zero if none has.
	supersededAt time.Duration
	exchange     *targetconn.Exchange
}

// Refusal is the error that says why there is no target for an attempt.
type Refusal struct {
	Reason placement.Reason
	// RetryAfter is the time until capacity may be free; zero when unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string { return "no target for the attempt: " + string(r.Reason) }

// ReasonCutOff means that this VM reaches no target of the service, while others may.
const ReasonCutOff placement.Reason = "cut_off"

// ReasonBudget means that the retry budget is spent.
const ReasonBudget placement.Reason = "retry_budget"

// RequestArrived records a new request for a service. Each request earns a part
// of a retry and of an exploration.
func (m *Manager) RequestArrived(name string) {
	m.mu.Lock()
	s := m.service(name)
	s.hedging.budget.Earn(m.options.Hedging.Ratio, m.options.Uptime())
	earned := explorationsPerRequest + explorationsPerSuspectShare*max(s.suspectShare-fewSuspectsShare, 0)
	s.explorationCredit = min(s.explorationCredit+earned, maxExplorationCredit)
	m.mu.Unlock()
	s.budget.Earn(m.options.Uptime())
}

// Begin chooses a target and counts the attempt as in progress there; the error
// is a *Refusal.
func (m *Manager) Begin(wanted AttemptRequest) (*Attempt, error) {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(wanted.Service)
	admission := s.breaker.Admit(wanted.Route.Kind.Idempotent(), wanted.IsForwarded, now)
	if admission == breaker.Block {
		return nil, &Refusal{Reason: ReasonCutOff}
	}
	openConnectionOnly := admission == breaker.PassOnOpenConnection
	reference, overallServiceTime := s.reference(wanted.Route.Name), s.overall.MeanServiceTime(defaultAttemptDuration)
	candidates, targets, held := m.candidates(s, wanted, openConnectionOnly, now)
	s.suspectShare = suspectShare(candidates)
	m.markFull(candidates, targets, overallServiceTime, now)
	if refusal := m.admit(s, wanted, candidates, reference.MeanServiceTime(overallServiceTime), overallServiceTime, now); refusal != nil {
		return nil, refusal
	}
	choice := placement.Choose(candidates, s.placementRequest(wanted, reference.MeanServiceTime(overallServiceTime), overallServiceTime, now), m.random)
	if choice.Reason == placement.ReasonNoTarget && s.hasUnreachable() {
		return nil, &Refusal{Reason: ReasonCutOff}
	}
	if choice.Reason != placement.ReasonNone {
		return nil, held.refusal(choice, now)
	}
	if (choice.Trial || wanted.SentAttempts > 0 && !wanted.RetryPaid) && !s.budget.Spend(now) {
		return nil, &Refusal{Reason: ReasonBudget}
	}
	if choice.Exploratory {
		s.payExploration(candidates[choice.Index], wanted.Route.Kind)
	}
	a := m.start(s, targets[choice.Index], candidates[choice.Index], wanted, now)
	a.trial, a.openConnectionOnly = choice.Trial, openConnectionOnly || a.target.unreachable
	a.expectWait(choice.Wait, overallServiceTime, wanted.Route.Objective)
	return a, nil
}

// placementRequest returns what the placement needs to know of an attempt, given the mean duration
// of attempts of its route and of all; the lock is held.
func (s *service) placementRequest(wanted AttemptRequest, serviceTime, overallServiceTime, now time.Duration) placement.AttemptRequest {
	mayRetry := wanted.SentAttempts+1 < wanted.Route.MaxAttempts
	return placement.AttemptRequest{
		Idempotent:        wanted.Route.Kind.Idempotent(),
		Retry:             len(wanted.Attempted) > 0,
		MayRunTrial:       mayRetry && s.budget.Available(now) >= minTrialBudget,
		MayExplore:        s.explorationCredit >= exploreCost,
		MayExploreSuspect: s.explorationCredit >= suspectCost(wanted.Route.Kind),
		MayRetry:          mayRetry && s.budget.Available(now) >= 1,
		ServiceTime:       serviceTime,
		QueueServiceTime:  overallServiceTime,
		Bytes:             wanted.Bytes,
		Remaining:         wanted.Remaining,
		UsefulTime:        wanted.Useful,
		Priority:          wanted.Priority,
		QueuePerSlot:      s.queuePerSlot(),
	}
}

// payExploration takes the cost of an exploration of the candidate from the credit; the lock is
// held.
func (s *service) payExploration(chosen placement.Candidate, kind routing.Kind) {
	if chosen.IsSuspect() {
		s.explorationCredit -= suspectCost(kind)
		return
	}
	s.explorationCredit -= exploreCost
}

// suspectShare returns the share of candidates that are suspects.
func suspectShare(candidates []placement.Candidate) float64 {
	suspects := 0
	for _, c := range candidates {
		if c.IsSuspect() {
			suspects++
		}
	}
	return float64(suspects) / float64(max(len(candidates), 1))
}

// suspectCost returns the credit that the exploration of a suspect by a request of the kind
// costs.
func suspectCost(kind routing.Kind) float64 {
	if kind.Idempotent() {
		return exploreCost
	}
	return onceSuspectCost
}

// candidates returns the usable targets that the request has not attempted yet and that
// take a request of this VM now, and what is known of those that take one later; the lock
// is held.
func (m *Manager) candidates(s *service, wanted AttemptRequest, openConnectionOnly bool, now time.Duration) ([]placement.Candidate, []*target, heldBack) {
	candidates := make([]placement.Candidate, 0, len(s.targets))
	targets := make([]*target, 0, len(s.targets))
	held := heldBack{}
	for _, t := range s.targets {
		state := m.notices.StateOf(processOf(t.info))
		if !t.usable() || state.IsLeaving || slices.Contains(wanted.Attempted, t.info.ID) {
			continue
		}
		if !s.bytesBound.allows(t.bytes.inProgress, wanted.Bytes, now) {
			held.add(placement.ReasonFull, now+defaultAttemptDuration)
			continue
		}
		if reason, until := m.hold(t, state, now); reason != placement.ReasonNone {
			held.add(reason, until)
			continue
		}
		candidates = append(candidates, t.candidate(m.options.Zone, openConnectionOnly, now))
		targets = append(targets, t)
	}
	return candidates, targets, held
}

// ID returns the target's instance identifier.
func (a *Attempt) ID() string { return a.info.ID }

// Target returns the target as it was published when it was chosen.
func (a *Attempt) Target() roster.Target { return a.info }

// Address returns the target's "IP:port".
func (a *Attempt) Address() string { return a.info.Address }

// OnAbandoned sets the function that ends the attempt when the path to its target is at
// fault. It is called only if the request may run more than once and mayFollow reports that
// another attempt can follow. Both must be set before Send.
func (a *Attempt) OnAbandoned(abandon func(), mayFollow func() bool) {
	a.abandon, a.mayFollow = abandon, mayFollow
}

// SinceWrite returns the time since bytes of the request were last written to the target; zero
// when none were.
func (a *Attempt) SinceWrite() time.Duration {
	if a.trip == nil {
		return 0
	}
	return a.trip.SinceWrite()
}

// Trial reports whether the attempt tests if a suspect target has recovered.
func (a *Attempt) Trial() bool { return a.trial }

// Candidate returns the target as it was when it was chosen.
func (a *Attempt) Candidate() placement.Candidate { return a.candidate }

// Send writes the request to the target and reads the head of the response. The
// error is a *contract.RoundTripError.
func (a *Attempt) Send(request *http.Request) (*http.Response, error) {
	trip := contract.RoundTripFrom(request.Context())
	a.startTimer(trip)
	trip.OpenConnectionOnly = a.openConnectionOnly
	x, response, err := targetconn.Send(a.target.pool, a.info.ID, request)
	a.exchange = x
	if err == nil {
		a.manager.mu.Lock()
		a.manager.responded(a, !trip.Reused())
		a.manager.mu.Unlock()
	}
	return response, err
}

// reportOverdue counts evidence of slowness against a target whose attempt is
// still running after an unusually long time, unless the path from this VM may be at fault.
func (a *Attempt) reportOverdue() {
	m := a.manager
	m.mu.Lock()
	now := m.options.Uptime()
	if a.isPathSilent(now) {
		m.mu.Unlock()
		return
	}
	a.overdueReported = true
	outcome := evidence.AttemptEvidence{Target: a.target.info.ID, SlowNats: suspicion.OverdueNats}
	m.observe(a.target, outcome, now)
	m.mu.Unlock()
	m.notifier.Publish(outcome)
}

// startTimer starts the observation of an attempt that waits for its response.
func (a *Attempt) startTimer(trip *contract.RoundTrip) {
	a.manager.mu.Lock()
	defer a.manager.mu.Unlock()
	a.trip = trip
	a.silence = time.AfterFunc(a.silenceLimit, a.examine)
}

// stopTimers ends the observation of an attempt that has ended.
func (a *Attempt) stopTimers() {
	m := a.manager
	m.mu.Lock()
	defer m.mu.Unlock()
	if a.overdue != nil {
		a.overdue.Stop()
	}
	if a.silence != nil {
		a.silence.Stop()
	}
}

// Result is the result of an attempt.
type Result struct {
	// End is how the attempt ended, as evidence about the target.
	End suspicion.Result
	// Reuse is true when the connection may carry another request.
	Reuse bool
	Load  *dialect.Load
	// KeepIdle is how long the target keeps an idle connection open; zero when it
	// does not say.
	KeepIdle time.Duration
	// Err is the failure, if any.
	Err error
	// Sent is true once a byte of the request was written.
	Sent bool
	// Refused is true when the target refused the attempt, which it did not run.
	Refused bool
	// RefusedFull is true when the target refused the attempt for lack of room, as Load shows.
	RefusedFull bool
	// Misplaced is true when another instance answered at the target's address.
	Misplaced bool
}

// Done ends the attempt and reports its result as evidence; it must be called
// exactly once.
func (a *Attempt) Done(result Result) {
	if a.exchange != nil {
		if result.Refused {
			a.exchange.MarkRefused()
		}
		a.exchange.Finish(result.Reuse)
	}
	a.stopTimers()
	if result.KeepIdle > 0 {
		a.target.pool.SetIdleTimeout(time.Duration(idleShare * float64(result.KeepIdle)))
	}
	m := a.manager
	now := m.options.Uptime()
	m.mu.Lock()
	if a.trial && (result.End == suspicion.ResultServed || a.isSuperseded(result)) {
		a.service.budget.Refund()
	}
	a.releaseSlot(result)
	a.target.held.Ended(endsOf(result))
	a.target.bytes.remove(a.bytes)
	a.recordDuration(result, now)
	m.meanRunTime += (now - a.startedAt - m.meanRunTime) / runTimeWindow
	a.observePath(result, now)
	a.target.misplaced = a.target.misplaced || result.Misplaced
	if result.End == suspicion.ResultServed {
		m.answeredAt = now
	}
	outcome := a.evaluate(result, now)
	m.observe(a.target, outcome, now)
	m.mu.Unlock()
	m.notifier.Publish(outcome)
}
