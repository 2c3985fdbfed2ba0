package targetset

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/policy/breaker"
)

const (
	// silenceCheckInterval is the minimum time between the begins of two checks of a service.
	silenceCheckInterval = 500 * time.Millisecond
	// maxCheckWait bounds how long a check waits for a response.
	maxCheckWait = time.Second
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
	noAnswer answer = iota
	answered
	// notAsked means that this VM may open no further connection to the target.
	notAsked
)

// String returns the answer as it is logged.
func (a answer) String() string { return [...]string{"none", "response", "not_asked"}[a] }

// checkSilence asks some targets that have lately answered other VMs for a response and opens
// the breaker of the service if none comes. It returns at once; the lock is held. Where only a
// connection was asked for, one that opens would not show that the path carries requests.
func (m *Manager) checkSilence(name string, s *service, now time.Duration) {
	check := &s.silenceCheck
	if check.inProgress || check.begunAt > 0 && now-check.begunAt < silenceCheckInterval {
		return
	}
	questions := s.questions(now)
	if len(questions) == 0 {
		return
	}
	check.inProgress, check.begunAt = true, now
	path := m.healthPath(name)
	wait := min(max(minSilence, silentServiceTimes*s.overall.MeanServiceTime(defaultAttemptDuration)), maxCheckWait)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
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
	switch {
	case result == answered:
		if s.breaker.Answered(true, now) {
			m.pathFound(name)
		}
	case result == noAnswer && s.finding(now) != breaker.NoFinding:
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

// questions returns the targets that have answered any VM most recently. Those that have lost
// a request of this VM come last: their requests may take long.
func (s *service) questions(now time.Duration) []question {
	var sound, late []*target
	for _, t := range s.targets {
		switch _, lost := s.breaker.LostAt(t.info.ID, now); {
		case !t.usable() || t.unreachable:
		case lost:
			late = append(late, t)
		default:
			sound = append(sound, t)
		}
	}
	slices.SortFunc(sound, func(x, y *target) int { return cmp.Compare(y.lastServedAt, x.lastServedAt) })
	var questions []question
	for _, t := range append(sound, late...) {
		if len(questions) < maxPathChecks {
			questions = append(questions, question{pool: t.pool, id: t.info.ID, address: t.info.Address})
		}
	}
	return questions
}

// ask returns whether one of the targets answers a request at the path, whatever it answers, or
// accepts a connection where there is no path.
func (m *Manager) ask(ctx context.Context, questions []question, path string) answer {
	if path == "" {
		return m.askForConnections(questions)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(questions))
	for _, q := range questions {
		go func() { answers <- q.ask(ctx, path) }()
	}
	result := notAsked
	for range questions {
		switch <-answers {
		case answered:
			return answered
		case noAnswer:
			result = noAnswer
		case notAsked:
		}
	}
	return result
}

// askForConnections returns whether one of the targets accepts a connection.
func (m *Manager) askForConnections(questions []question) answer {
	var addresses []string
	for _, q := range questions {
		addresses = append(addresses, q.address)
	}
	if reachesAny(m.options.Network, addresses) {
		return answered
	}
	return noAnswer
}

// ask sends one request over a new connection.
func (q question) ask(ctx context.Context, path string) answer {
	trip := &contract.RoundTrip{NewConnection: true}
	request, err := http.NewRequestWithContext(contract.WithRoundTrip(ctx, trip), http.MethodGet, "http://"+q.address+path, nil)
	if err != nil {
		return notAsked // the routes hold a malformed path
	}
	x, response, err := targetconn.Send(q.pool, q.id, request)
	switch {
	case targetconn.IsConnectionLimit(err):
		return notAsked
	case err != nil:
		return noAnswer // as at the end of the check's time
	}
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
	x.Finish(err == nil && !response.Close)
	return answered
}
