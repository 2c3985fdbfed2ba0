package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/identity"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// suspects holds the table of requests that are suspected of crashing targets and
// publishes its changes to the other VMs.
type suspects struct {
	options Options
	// size is the table's size, so that requests need no lock while it is empty.
	size atomic.Int64

	mu      sync.Mutex
	table   quarantine.Registry
	changed chan struct{}
}

func newSuspects(options Options, table quarantine.Registry) *suspects {
	if table == nil {
		table = quarantine.NewTable()
	}
	s := &suspects{options: options, table: table, changed: make(chan struct{})}
	if options.News != nil {
		options.News.Subscribe(s.handleNews)
	}
	return s
}

// beginAttempt waits until an attempt of a request may run; the returned
// function must be called when the attempt has ended.
func (s *suspects) beginAttempt(c *call) (release func(), err error) {
	for {
		if s.size.Load() == 0 {
			return func() {}, nil
		}
		decision, changed := s.admit(c)
		switch decision.Action {
		case quarantine.ActionRefuse:
			refusal := contract.NewRefusal(outcome.NotRun, outcome.ReasonQuarantined, outcome.StepAdmission, "", nil)
			refusal.RetryAfter = decision.RetryAfter
			return nil, refusal
		case quarantine.ActionRun:
			c.suspect = decision.Suspect
			return s.publishAttempt(c, decision.Suspect), nil
		}
		if err := waitForTurn(c, changed, decision.RetryAfter); err != nil {
			return nil, err
		}
	}
}

func (s *suspects) admit(c *call) (quarantine.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.table.Admit(c.identity, c.expiresAtUptime, s.options.Clock.Uptime())
	s.size.Store(int64(s.table.Len()))
	return decision, s.changed
}

// waitForTurn waits, for at most maxWait, for a change of the table such as the
// end of another attempt of the same suspect.
func waitForTurn(c *call, changed <-chan struct{}, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.ctx.Done():
		return contract.NewRefusal(outcome.NotRun, outcome.ReasonDeadlineExceeded, outcome.StepAdmission, "", c.ctx.Err())
	}
	return nil
}

// publishAttempt notifies the other VMs that a suspect runs here; the returned
// function reports its end.
func (s *suspects) publishAttempt(c *call, suspect bool) (release func()) {
	if !suspect {
		return func() {}
	}
	s.publish(c.service.Name, attemptNews(c.fingerprint, false))
	return func() {
		s.update(func() { s.table.EndAttempt(c.fingerprint) })
		s.publish(c.service.Name, attemptNews(c.fingerprint, true))
	}
}

// recordCrash records, publishes and logs that a target crashed on a request, or is
// presumed to have.
func (s *suspects) recordCrash(c *call, target string, presumed bool) {
	now := s.options.Clock.Uptime()
	var recorded []quarantine.Recorded
	s.update(func() {
		recorded = s.table.RecordCrash(c.identity, c.service.Name, quarantine.Crash{Target: target, At: now, Presumed: presumed}, now)
	})
	s.publish(c.service.Name, crashNews(c.identity, target, presumed))
	s.publishQuarantines(c.service.Name, recorded)
	if s.options.Logger != nil {
		events.TargetCrashed.Log(s.options.Logger, "target", target, "service", c.service.Name, "fingerprint", c.fingerprint, "presumed", presumed)
	}
}

// publishQuarantines publishes the quarantines that followed from a crash.
func (s *suspects) publishQuarantines(service string, recorded []quarantine.Recorded) {
	for _, form := range recorded {
		if !form.Change.Quarantined {
			continue
		}
		s.mu.Lock()
		remaining, age := s.table.Quarantine(form.Fingerprint, s.options.Clock.Uptime())
		s.mu.Unlock()
		s.publish(service, quarantineNews(form.Fingerprint, remaining, age))
	}
}

// recordAnswer records that the request got a complete response, and publishes it
// when that clears a suspect.
func (s *suspects) recordAnswer(c *call) {
	s.mu.Lock()
	cleared := s.table.RecordResponse(c.identity, s.options.Clock.Uptime())
	s.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	s.update(func() {}) // wake the requests that wait for their turn
	for _, fingerprint := range cleared {
		s.publish(c.service.Name, liftNews(fingerprint))
	}
}

func (s *suspects) list() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.List(s.options.Clock.Uptime())
}

func (s *suspects) lift(fingerprint quarantine.Fingerprint) bool {
	service := ""
	for _, row := range s.list() {
		if row.Fingerprint == fingerprint {
			service = row.Service
		}
	}
	found := false
	s.update(func() { found = s.table.Lift(fingerprint, s.options.Clock.Uptime()) })
	s.publish(service, liftNews(fingerprint))
	return found
}

// update changes the table and wakes the requests that wait for their turn.
func (s *suspects) update(alter func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	alter()
	s.size.Store(int64(s.table.Len()))
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleNews applies what another VM published.
func (s *suspects) handleNews(item *primroseloomv1.NewsItem) {
	now := s.options.Clock.Uptime()
	switch body := item.GetBody().(type) {
	case *primroseloomv1.NewsItem_Crash:
		s.applyCrash(item.GetService(), body.Crash, now)
	case *primroseloomv1.NewsItem_Lift:
		s.update(func() { s.table.Lift(quarantine.Fingerprint(body.Lift.GetFingerprint()), now) })
	case *primroseloomv1.NewsItem_Attempt:
		s.applyAttempt(body.Attempt, now)
	}
}

// applyCrash applies the news of a crash, of an earlier crash, or of a quarantine.
func (s *suspects) applyCrash(service string, news *primroseloomv1.FingerprintCrash, now time.Duration) {
	request := identity.FromWire(news.GetIdentity())
	if !request.IsKnown() && news.GetQuarantinedMs() == 0 {
		return // an older build tells requests apart in another way
	}
	crash := quarantine.Crash{Target: news.GetTarget(), At: now, Presumed: news.GetPresumed()}
	switch {
	case news.GetRepeated():
		s.update(func() { s.table.AddRemoteSuspect(request, service, crash, now) })
	case news.GetQuarantinedMs() == 0:
		var recorded []quarantine.Recorded
		s.update(func() { recorded = s.table.RecordCrash(request, service, crash, now) })
		s.publishQuarantines(service, recorded)
	default:
		s.applyQuarantine(service, quarantine.Fingerprint(news.GetFingerprint()), news, now)
	}
}

// applyQuarantine adopts another VM's quarantine, or publishes that it was lifted.
func (s *suspects) applyQuarantine(service string, fingerprint quarantine.Fingerprint, news *primroseloomv1.FingerprintCrash, now time.Duration) {
	remaining := time.Duration(news.GetQuarantinedMs()) * time.Millisecond
	age := time.Duration(news.GetQuarantineAgeMs()) * time.Millisecond
	adopted := false
	s.update(func() { adopted = s.table.AddRemoteQuarantine(fingerprint, service, remaining, age, now) })
	if !adopted {
		s.publish(service, liftNews(fingerprint))
	}
}

func (s *suspects) applyAttempt(attempt *primroseloomv1.FingerprintAttempt, now time.Duration) {
	fingerprint := quarantine.Fingerprint(attempt.GetFingerprint())
	s.update(func() {
		if attempt.GetFinished() {
			s.table.EndRemoteAttempt(fingerprint)
			return
		}
		s.table.StartRemoteAttempt(fingerprint, now)
	})
}

func (s *suspects) publish(service string, item *primroseloomv1.NewsItem) {
	if s.options.News == nil {
		return
	}
	item.Service = service
	s.options.News.Publish(item, true)
}

func crashNews(request quarantine.Identity, target string, presumed bool) *primroseloomv1.NewsItem {
	crash := &primroseloomv1.FingerprintCrash{
		Fingerprint: uint64(request.Exact()), Identity: identity.ToWire(request), Target: target, Presumed: presumed,
	}
	return &primroseloomv1.NewsItem{Body: &primroseloomv1.NewsItem_Crash{Crash: crash}}
}

func suspectNews(request quarantine.Identity, target string, presumed bool) *primroseloomv1.NewsItem {
	item := crashNews(request, target, presumed)
	item.GetCrash().Repeated = true
	return item
}

func quarantineNews(fingerprint quarantine.Fingerprint, remaining, age time.Duration) *primroseloomv1.NewsItem {
	crash := &primroseloomv1.FingerprintCrash{
		Fingerprint: uint64(fingerprint), QuarantinedMs: uint64(remaining.Milliseconds()), QuarantineAgeMs: uint64(age.Milliseconds()),
	}
	return &primroseloomv1.NewsItem{Body: &primroseloomv1.NewsItem_Crash{Crash: crash}}
}

func liftNews(fingerprint quarantine.Fingerprint) *primroseloomv1.NewsItem {
	lift := &primroseloomv1.QuarantineLift{Fingerprint: uint64(fingerprint)}
	return &primroseloomv1.NewsItem{Body: &primroseloomv1.NewsItem_Lift{Lift: lift}}
}

func attemptNews(fingerprint quarantine.Fingerprint, finished bool) *primroseloomv1.NewsItem {
	attempt := &primroseloomv1.FingerprintAttempt{Fingerprint: uint64(fingerprint), Finished: finished}
	return &primroseloomv1.NewsItem{Body: &primroseloomv1.NewsItem_Attempt{Attempt: attempt}}
}
