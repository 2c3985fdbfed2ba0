package targetset

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/breaker"
)

const (
	// silenceCheckInterval is the minimum time from the start of a check of a service to the next.
	silenceCheckInterval = 500 * time.Millisecond
	// checkWait bounds how long a check waits for a response: a busy target may need a while.
	// A check that decides nothing opens the breaker only if the losses go on for as long.
	checkWait = time.Second
	// recentlyServed is how long ago targets have answered a VM that are asked first.
	recentlyServed = 500 * time.Millisecond
	// maxHealthBytes bounds what is read of a target's response to a check.
	maxHealthBytes = 64 << 10
)

// silenceCheck is the state of the checks that decide, for one service, whether late requests
// mean that the path is at fault or that they take long.
type silenceCheck struct {
	inProgress bool
	// begunAt is the uptime at which the latest check began; zero before the first.
	begunAt time.Duration
}

// question is a target that a check asks.
type question struct {
	pool        *targetconn.Pool
	id, address string
}

// answer is what a question shows.
type answer int

// The answers.
const (
	// failed means that no connection opened, or that it ended without a response.
	failed answer = iota
	// undecided means that a connection opened and no response came in time, or that nothing
	// could be asked for.
	undecided
	// answered means that a response arrived.
	answered
)

// String returns the answer as it is logged.
func (a answer) String() string { return [...]string{"failed", "undecided", "response"}[a] }

// checkSilence asks some targets that have lately answered other VMs for a response. It opens
// the breaker of the service if none can be reached, or if the check decides nothing and the
// losses go on. It returns at once; the lock is held.
func (m *Manager) checkSilence(name string, s *service, now time.Duration) {
	check := &s.silenceCheck
	if check.inProgress || check.begunAt > 0 && now-check.begunAt < silenceCheckInterval {
		return
	}
	questions := m.questions(s, now)
	if len(questions) == 0 {
		return
	}
	check.inProgress, check.begunAt = true, now
	path := m.healthPath(name)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), checkWait)
		defer cancel()
		result := m.ask(ctx, questions, path)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.silenceChecked(name, s, result)
	}()
}

// silenceChecked applies the result of a check; the lock is held.
func (m *Manager) silenceChecked(name string, s *service, result answer) {
	now := m.options.Uptime()
	s.silenceCheck.inProgress = false
	m.logSilenceChecked(name, s, result, now)
	if result == answered {
		if s.breaker.Answered(true, now) {
			m.pathFound(name)
		}
		return
	}
	finding, since := s.finding(now)
	if finding != breaker.NoFinding && (result == failed || now-since >= checkWait) {
		m.openByLosses(name, s, now)
	}
}

// healthPath returns the path at which the targets of a service tell of their health; empty when
// the routes name none. The lock is held.
func (m *Manager) healthPath(name string) string {
	if m.table == nil {
		return ""
	}
	definition, _ := m.table.Service(name)
	return definition.HealthPath
}

// questions returns random targets of those that have lately answered any VM, or of the others
// where these are too few. Those that have lost a request of this VM come last: their requests
// may take long. The lock is held.
func (m *Manager) questions(s *service, now time.Duration) []question {
	var recent, others, late []*target
	for _, i := range m.random.Perm(len(s.targets)) {
		t := s.targets[i]
		switch _, lost := s.breaker.LostAt(t.info.ID, now); {
		case !t.usable() || t.unreachable:
		case lost:
			late = append(late, t)
		case t.lastServedAt > 0 && now-t.lastServedAt < recentlyServed:
			recent = append(recent, t)
		default:
			others = append(others, t)
		}
	}
	var questions []question
	for _, t := range slices.Concat(recent, others, late) {
		if len(questions) < maxPathChecks {
			questions = append(questions, question{pool: t.pool, id: t.info.ID, address: t.info.Address})
		}
	}
	return questions
}

// ask returns the best answer to the questions: whether one of the targets responds to a request
// at the path, whatever it says. Without a path only a failed connection decides.
func (m *Manager) ask(ctx context.Context, questions []question, path string) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(questions))
	for _, q := range questions {
		go func() {
			if path == "" {
				answers <- q.connect(ctx, m.options.Network)
				return
			}
			answers <- q.ask(ctx, path)
		}()
	}
	best := failed
	for range questions {
		best = max(best, <-answers)
		if best == answered {
			break
		}
	}
	return best
}

// connect opens a connection, which does not show that it carries requests.
func (q question) connect(ctx context.Context, network contract.Network) answer {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if connect(ctx, network, q.address) != nil {
		return failed
	}
	return undecided
}

// ask sends one request over a new connection.
func (q question) ask(ctx context.Context, path string) answer {
	trip := &contract.RoundTrip{NewConnection: true}
	request, err := http.NewRequestWithContext(contract.WithRoundTrip(ctx, trip), http.MethodGet, "http://"+q.address+path, nil)
	if err != nil {
		return undecided // the routes hold a malformed path
	}
	x, response, err := targetconn.Send(q.pool, q.id, request)
	if err != nil {
		return answerOf(err)
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
	x.Finish(err == nil && !response.Close)
	return answered
}

// answerOf returns what an error of a question shows.
func answerOf(err error) answer {
	var failure *contract.RoundTripError
	if !errors.As(err, &failure) {
		return undecided
	}
	switch failure.Kind {
	case contract.AttemptRefused, contract.AttemptReset, contract.AttemptWrong, contract.AttemptTruncated:
		return failed
	}
	return undecided // the check has ended, or this VM may open no further connection
}
