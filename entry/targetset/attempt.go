package targetset

import (
	"net/http"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// Bounds on trials and explorations.
const (
	// trialBudget is what must be left of the budget for a trial, which pays for
	// the attempt that follows when it fails.
	trialBudget = 2
	// exploreShare is the number of attempts, for each request, that may go to
	// targets that had none for long, whatever their record.
	exploreShare = 0.05
	// onceExploreCost is what such an attempt counts when its request must not run
	// twice, since its failure is final.
	onceExploreCost = 3
	// mostExplorations bounds what can be saved up.
	mostExplorations = 6
	// defaultWork stands for the duration of attempts while it is not known.
	defaultWork = 150 * time.Millisecond
)

// Ask describes an attempt.
type Ask struct {
	Service string
	Route   *routing.Route
	// Bytes is the size of the request's body.
	Bytes int64
	// Remaining is the time until the final answer is due, Useful the time in
	// which an answer has its full value.
	Remaining, Useful time.Duration
	// Tried names the targets of earlier attempts.
	Tried []string
	// Sent is the number of earlier attempts that reached a target.
	Sent int
	// Paid is true when an earlier attempt has paid for this one.
	Paid bool
}

// Attempt is one request on its way to one target.
type Attempt struct {
	manager *Manager
	service *service
	target  *target
	route   string
	began   time.Duration
	trial   bool
	// chosen is what the choice knew of the target.
	chosen   placement.Candidate
	overdue  *time.Timer
	told     bool
	exchange *targetconn.Exchange
}

// Refusal tells why there is no target for an attempt.
type Refusal struct {
	Reason placement.Reason
	// RetryAfter is when capacity may be free; zero when that is not known.
	RetryAfter time.Duration
}

// Error renders the refusal.
func (r *Refusal) Error() string { return "no target for the attempt: " + string(r.Reason) }

// ReasonBudget means that the budget for repeats is spent.
const ReasonBudget placement.Reason = "retry_budget"

// Arrived notes a request for a service; it earns part of a repeat.
func (m *Manager) Arrived(name string) {
	m.mu.Lock()
	s := m.service(name)
	s.explorations = min(s.explorations+exploreShare, mostExplorations)
	m.mu.Unlock()
	s.budget.Earn(m.options.Uptime())
}

// Begin chooses a target and counts the attempt; the error is a *Refusal.
func (m *Manager) Begin(ask Ask) (*Attempt, error) {
	now := m.options.Uptime()
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(ask.Service)
	usual, queued := s.reference(ask.Route.Name), s.overall.Mean(defaultWork)
	candidates, chosen := m.candidates(s, ask, now)
	mayRepeat := ask.Sent+1 < ask.Route.MaxAttempts
	choice := placement.Choose(candidates, placement.Ask{
		Repeatable: ask.Route.Kind.Repeatable(),
		Retry:      len(ask.Tried) > 0,
		MayTry:     mayRepeat && s.budget.Available(now) >= trialBudget,
		MayExplore: s.explorations >= exploreCost(ask.Route.Kind),
		MayRepeat:  mayRepeat && s.budget.Available(now) >= 1,
		Work:       usual.Mean(queued),
		QueueWork:  queued,
		Bytes:      ask.Bytes,
		Remaining:  ask.Remaining,
		Useful:     ask.Useful,
		Rank:       ask.Route.Priority,
	}, m.random)
	if choice.Reason != placement.ReasonNone {
		return nil, &Refusal{Reason: choice.Reason, RetryAfter: choice.Wait}
	}
	if (choice.Trial || ask.Sent > 0 && !ask.Paid) && !s.budget.Spend(now) {
		return nil, &Refusal{Reason: ReasonBudget}
	}
	if choice.Explored {
		s.explorations -= exploreCost(ask.Route.Kind)
	}
	t := chosen[choice.Index]
	t.mine++
	t.tried = true
	t.attempted = now
	a := &Attempt{manager: m, service: s, target: t, route: ask.Route.Name, began: now, trial: choice.Trial, chosen: candidates[choice.Index]}
	if limit := usual.Overdue(choice.Wait); limit > 0 {
		a.overdue = time.AfterFunc(limit, a.isOverdue)
	}
	m.teller.UsesChanged()
	return a, nil
}

// exploreCost returns what an exploration by a request of a kind takes of the
// service's share.
func exploreCost(kind routing.Kind) float64 {
	if kind.Repeatable() {
		return 1
	}
	return onceExploreCost
}

// candidates returns the usable targets that were not tried; the lock is held.
func (m *Manager) candidates(s *service, ask Ask, now time.Duration) ([]placement.Candidate, []*target) {
	candidates := make([]placement.Candidate, 0, len(s.targets))
	chosen := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		if !t.usable() || slices.Contains(ask.Tried, t.info.ID) {
			continue
		}
		candidates = append(candidates, t.candidate(m.options.Zone, now))
		chosen = append(chosen, t)
	}
	return candidates, chosen
}

// ID returns the target's instance identifier.
func (a *Attempt) ID() string { return a.target.info.ID }

// Address returns the target's "IP:port".
func (a *Attempt) Address() string { return a.target.info.Address }

// Trial reports whether the target is a suspect tried on purpose.
func (a *Attempt) Trial() bool { return a.trial }

// Chosen returns what the choice knew of the target.
func (a *Attempt) Chosen() placement.Candidate { return a.chosen }

// Send writes the request to the target and reads the answer's head. The error
// is a *contract.RoundTripError.
func (a *Attempt) Send(request *http.Request) (*http.Response, error) {
	x, response, err := targetconn.Send(a.target.pool, a.target.info.ID, request)
	a.exchange = x
	return response, err
}

// isOverdue tells of an attempt that takes unusually long and still runs.
func (a *Attempt) isOverdue() {
	m := a.manager
	m.mu.Lock()
	a.told = true
	outcome := evidence.Outcome{Target: a.target.info.ID, SlowNats: suspicion.OverdueNats}
	m.observe(a.target, outcome, m.options.Uptime())
	m.mu.Unlock()
	m.teller.Publish(outcome)
}

// Result is what became of an attempt.
type Result struct {
	End suspicion.End
	// Reuse is true when the connection may carry another request.
	Reuse bool
	Load  *dialect.Load
	// KeepIdle is how long the target keeps the connection; zero when it doesn't say.
	KeepIdle time.Duration
	// Err is the failure, if any.
	Err error
	// Sent is true once a byte of the request was written.
	Sent bool
	// Misplaced is true when another instance has the target's address.
	Misplaced bool
}

// Done ends the attempt; it is called exactly once.
func (a *Attempt) Done(result Result) {
	if a.exchange != nil {
		a.exchange.Finish(result.Reuse)
	}
	if a.overdue != nil {
		a.overdue.Stop()
	}
	if result.KeepIdle > 0 {
		a.target.pool.SetIdle(time.Duration(idleShare * float64(result.KeepIdle)))
	}
	m := a.manager
	now := m.options.Uptime()
	if a.trial && result.End == suspicion.EndServed {
		a.service.budget.Refund()
	}
	m.mu.Lock()
	a.target.mine--
	a.target.misplaced = a.target.misplaced || result.Misplaced
	outcome := a.judge(result, now)
	m.observe(a.target, outcome, now)
	m.mu.Unlock()
	m.teller.Publish(outcome)
}
