package targetset

import (
	"fmt"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/breaker"
)

// pathLost logs that the breaker of a service has opened, with the losses that opened it; the
// lock is held.
func (m *Manager) pathLost(name string, s *service, observed string, losses []breaker.Loss) {
	m.options.Scope.Tagged(map[string]string{"service": name}).Counter("paths_lost").Inc(1)
	now := m.options.Uptime()
	events.PathLost.Log(m.options.Logger, "service", name, "observed", observed, "targets", len(s.targets), "lost", describeLosses(losses, now),
		"answered_here_ms", age(s.answeredHereAt(), now), "answered_any_ms", age(s.latestServed(), now), "in_progress", s.attemptsInProgress())
	m.notifier.PathChanged()
}

// logSilenceChecked logs and counts the result of a check of a path on which requests are late;
// the lock is held.
func (m *Manager) logSilenceChecked(name string, s *service, result probeResult, now time.Duration) {
	m.options.Scope.Tagged(map[string]string{"service": name, "result": result.String()}).Counter("silence_checks").Inc(1)
	events.SilenceChecked.Log(m.options.Logger, "service", name, "result", result, "lost", describeLosses(s.breaker.Losses(now), now),
		"answered_here_ms", age(s.answeredHereAt(), now), "answered_any_ms", age(s.latestServed(), now), "in_progress", s.attemptsInProgress())
}

// pathFound logs that the breaker of a service has closed; the lock is held.
func (m *Manager) pathFound(name string) {
	events.PathFound.Log(m.options.Logger, "service", name)
	m.notifier.PathChanged()
}

// describeLosses returns the losses as text, each with its target, the milliseconds since the
// attempt began and whether it ended.
func describeLosses(losses []breaker.Loss, now time.Duration) string {
	texts := make([]string, 0, len(losses))
	for _, loss := range losses {
		end := "late"
		if loss.Ended {
			end = "ended"
		}
		texts = append(texts, fmt.Sprintf("%s:%d:%s", loss.Target, (now-loss.BegunAt).Milliseconds(), end))
	}
	return strings.Join(texts, " ")
}

// age returns the milliseconds since an uptime; -1 for none.
func age(at, now time.Duration) int64 {
	if at == 0 {
		return -1
	}
	return (now - at).Milliseconds()
}

// latestServed returns the uptime of the latest known response of a target to any VM; zero for
// none.
func (s *service) latestServed() time.Duration {
	latest := time.Duration(0)
	for _, t := range s.targets {
		latest = max(latest, t.lastServedAt)
	}
	return latest
}

// answeredHereAt returns the uptime of the latest response of a target to this VM; zero for none.
func (s *service) answeredHereAt() time.Duration {
	latest := time.Duration(0)
	for _, t := range s.targets {
		latest = max(latest, t.answeredHereAt)
	}
	return latest
}

// attemptsInProgress returns the number of this VM's attempts in progress.
func (s *service) attemptsInProgress() int {
	attempts := 0
	for _, t := range s.targets {
		attempts += t.ownAttempts
	}
	return attempts
}
