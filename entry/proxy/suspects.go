package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// suspects guards the table of requests that crashed targets and shares its
// changes with the other VMs.
type suspects struct {
	options Options
	// known is the table's size, so that requests need no lock while it is empty.
	known atomic.Int64

	mu      sync.Mutex
	judge   quarantine.Registry
	changed chan struct{}
}

func newSuspects(options Options, judge quarantine.Registry) *suspects {
	if judge == nil {
		judge = quarantine.NewTable()
	}
	s := &suspects{options: options, judge: judge, changed: make(chan struct{})}
	if options.News != nil {
		options.News.Subscribe(s.hear)
	}
	return s
}

// enter waits until an attempt of a request may run; the returned function
// reports its end.
func (s *suspects) enter(c *call) (release func(), err error) {
	for {
		if s.known.Load() == 0 {
			return func() {}, nil
		}
		decision, changed := s.admit(c)
		switch decision.Action {
		case quarantine.ActionRefuse:
			refusal := contract.Refuse(outcome.NotRun, outcome.ReasonQuarantined, outcome.StepAdmission, "", nil)
			refusal.RetryAfter = decision.RetryAfter
			return nil, refusal
		case quarantine.ActionRun:
			c.suspect = decision.Suspect
			return s.start(c, decision.Suspect), nil
		}
		if err := waitTurn(c, changed, decision.RetryAfter); err != nil {
			return nil, err
		}
	}
}

func (s *suspects) admit(c *call) (quarantine.Decision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.judge.Admit(c.fingerprint, c.expires, s.options.Clock.Uptime())
	s.known.Store(int64(s.judge.Len()))
	return decision, s.changed
}

// waitTurn waits for another attempt of the same suspect to end.
func waitTurn(c *call, changed <-chan struct{}, longest time.Duration) error {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-c.ctx.Done():
		return contract.Refuse(outcome.NotRun, outcome.ReasonDeadlineExceeded, outcome.StepAdmission, "", c.ctx.Err())
	}
	return nil
}

// start tells the other VMs that a suspect runs here.
func (s *suspects) start(c *call, suspect bool) (release func()) {
	if !suspect {
		return func() {}
	}
	s.publish(c.service.Name, attemptNews(c.fingerprint, false))
	return func() {
		s.change(func() { s.judge.EndAttempt(c.fingerprint) })
		s.publish(c.service.Name, attemptNews(c.fingerprint, true))
	}
}

// crashed records that a target crashed on a request.
func (s *suspects) crashed(c *call, target string) {
	s.publish(c.service.Name, crashNews(c.fingerprint, target))
	s.count(c.fingerprint, c.service.Name, target)
	if s.options.Logger != nil {
		events.TargetCrashed.Log(s.options.Logger, "target", target, "service", c.service.Name, "fingerprint", uint64(c.fingerprint))
	}
}

// count adds a crash to the table and tells a verdict that follows from it.
func (s *suspects) count(fingerprint quarantine.Fingerprint, service, target string) {
	judged := false
	s.change(func() { judged = s.judge.RecordCrash(fingerprint, service, target, s.options.Clock.Uptime()) })
	if judged {
		s.publish(service, verdictNews(fingerprint, quarantine.QuarantineTime))
	}
}

// answered clears a suspect that was answered whole.
func (s *suspects) answered(c *call) {
	if s.known.Load() == 0 {
		return
	}
	cleared := false
	s.change(func() { cleared = s.judge.RecordResponse(c.fingerprint) })
	if cleared {
		s.publish(c.service.Name, liftNews(c.fingerprint))
	}
}

func (s *suspects) list() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.judge.List(s.options.Clock.Uptime())
}

func (s *suspects) lift(fingerprint quarantine.Fingerprint) bool {
	service := ""
	for _, row := range s.list() {
		if row.Fingerprint == fingerprint {
			service = row.Service
		}
	}
	found := false
	s.change(func() { found = s.judge.Lift(fingerprint) })
	s.publish(service, liftNews(fingerprint))
	return found
}

// change alters the table and wakes those that wait for a turn.
func (s *suspects) change(alter func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	alter()
	s.known.Store(int64(s.judge.Len()))
	close(s.changed)
	s.changed = make(chan struct{})
}

// hear takes over what another VM tells.
func (s *suspects) hear(item *primroseloomv1.NewsItem) {
	now := s.options.Clock.Uptime()
	switch body := item.GetBody().(type) {
	case *primroseloomv1.NewsItem_Crash:
		s.hearCrash(item.GetService(), body.Crash, now)
	case *primroseloomv1.NewsItem_Lift:
		s.change(func() { s.judge.Lift(quarantine.Fingerprint(body.Lift.GetFingerprint())) })
	case *primroseloomv1.NewsItem_Attempt:
		s.hearAttempt(body.Attempt, now)
	}
}

func (s *suspects) hearCrash(service string, crash *primroseloomv1.FingerprintCrash, now time.Duration) {
	fingerprint := quarantine.Fingerprint(crash.GetFingerprint())
	rest := time.Duration(crash.GetQuarantinedMs()) * time.Millisecond
	if crash.GetRepeated() {
		s.change(func() { s.judge.AddRemoteSuspect(fingerprint, service, crash.GetTarget(), now) })
		return
	}
	if rest == 0 {
		s.count(fingerprint, service, crash.GetTarget())
		return
	}
	s.change(func() { s.judge.AddRemoteQuarantine(fingerprint, service, rest, now) })
}

func (s *suspects) hearAttempt(attempt *primroseloomv1.FingerprintAttempt, now time.Duration) {
	fingerprint := quarantine.Fingerprint(attempt.GetFingerprint())
	s.change(func() {
		if attempt.GetFinished() {
			s.judge.EndRemoteAttempt(fingerprint)
			return
		}
		s.judge.StartRemoteAttempt(fingerprint, now)
	})
}

func (s *suspects) publish(service string, item *primroseloomv1.NewsItem) {
	if s.options.News == nil {
		return
	}
	item.Service = service
	s.options.News.Publish(item, true)
}

func crashNews(fingerprint quarantine.Fingerprint, target string) *primroseloomv1.NewsItem {
	crash := &primroseloomv1.FingerprintCrash{Fingerprint: uint64(fingerprint), Target: target}
	return &primroseloomv1.NewsItem{Body: &primroseloomv1.NewsItem_Crash{Crash: crash}}
}

func recallNews(fingerprint quarantine.Fingerprint, target string) *primroseloomv1.NewsItem {
	crash := &primroseloomv1.FingerprintCrash{Fingerprint: uint64(fingerprint), Target: target, Repeated: true}
	return &primroseloomv1.NewsItem{Body: &primroseloomv1.NewsItem_Crash{Crash: crash}}
}

func verdictNews(fingerprint quarantine.Fingerprint, rest time.Duration) *primroseloomv1.NewsItem {
	crash := &primroseloomv1.FingerprintCrash{Fingerprint: uint64(fingerprint), QuarantinedMs: uint64(rest.Milliseconds())}
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
