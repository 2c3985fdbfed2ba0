package targets

import (
	"fmt"
	"strings"
	"time"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// maxRefusals bounds the number of refusals kept for Explain.
const maxRefusals = 512

// refusalLog keeps the latest refusals, oldest first.
type refusalLog struct {
	entries []refusalEntry
}

type refusalEntry struct {
	at       time.Time
	customer string
	service  string
	refusal  *outcome.Refusal
}

func (l *refusalLog) add(at time.Time, customer, service string, refusal *outcome.Refusal) {
	if len(l.entries) >= maxRefusals {
		l.entries = append(l.entries[:0], l.entries[maxRefusals/2:]...)
	}
	l.entries = append(l.entries, refusalEntry{at: at, customer: customer, service: service, refusal: refusal})
}

// Explain returns findings about the subjects "target <service>/<target>" and
// "customer <name>".
func (m *Manager) Explain(subject string) []contract.Finding {
	kind, name, _ := strings.Cut(subject, " ")
	switch kind {
	case "target":
		return m.explainTarget(subject, name)
	case "customer":
		return m.explainCustomer(subject, name)
	}
	return nil
}

func (m *Manager) explainTarget(subject, name string) []contract.Finding {
	serviceName, targetName, _ := strings.Cut(name, "/")
	s := m.service(serviceName)
	if s == nil {
		return nil
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[targetName]
	if !ok {
		return nil
	}
	findings := s.evaluator.explain(subject, targetName)
	findings[0].SeenBy = append(findings[0].SeenBy, m.vm)
	findings[0].Evidence = append(findings[0].Evidence,
		fmt.Sprintf("%d attempts in progress", s.balancer.InFlight(targetName)),
		fmt.Sprintf("%d connections open", t.pool.Size()))
	if t.leaving.isLeaving(now) {
		findings = append(findings, contract.Finding{
			Subject: subject, Decision: "no new work", Rule: "the target is leaving", SeenBy: []string{m.vm},
			Evidence: t.leaving.sources(now), Since: t.leaving.since, Next: "requests in progress are finished",
		})
	}
	return findings
}

// sources lists what reported that the target is leaving.
func (l *leaving) sources(now time.Time) []string {
	var sources []string
	if l.byConfiguration {
		sources = append(sources, "configuration")
	}
	if l.byVMList {
		sources = append(sources, "platform's VM list")
	}
	if now.Before(l.reportedUntil) {
		sources = append(sources, "the target's own responses")
	}
	return sources
}

func (m *Manager) explainCustomer(subject, name string) []contract.Finding {
	m.mu.Lock()
	defer m.mu.Unlock()
	var findings []contract.Finding
	for i := len(m.refusals.entries) - 1; i >= 0; i-- {
		entry := m.refusals.entries[i]
		if entry.customer != name {
			continue
		}
		findings = append(findings, contract.Finding{
			Subject: subject, Decision: "refused", Rule: string(entry.refusal.Reason), SeenBy: []string{m.vm},
			Evidence: []string{"service " + entry.service, entry.refusal.Error()}, Since: entry.at,
			Next: "retry after " + entry.refusal.RetryAfter.Round(time.Millisecond).String(),
		})
	}
	return findings
}
