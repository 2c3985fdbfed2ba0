package health

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Finding is one decision and the evidence for it.
type Finding struct {
	// Target is empty when the finding is about the whole service.
	Target   string
	Decision string
	Rule     string
	// Evidence lists the observations and SeenBy the VMs or zones that made them.
	Evidence []string
	SeenBy   []string
	Since    time.Duration
	Next     string
}

// maxFindings bounds the findings kept.
const maxFindings = 128

// addFinding keeps a finding unless it has the same target, decision and rule as
// the last one.
func (t *Tracker) addFinding(now time.Duration, finding Finding) {
	finding.Since = now
	if last := len(t.findings) - 1; last >= 0 {
		previous := &t.findings[last]
		same := previous.Target == finding.Target && previous.Decision == finding.Decision && previous.Rule == finding.Rule
		if same {
			return
		}
	}
	if len(t.findings) >= maxFindings {
		t.findings = slices.Delete(t.findings, 0, maxFindings/4)
	}
	t.findings = append(t.findings, finding)
}

// addEjectionFinding records that a target was found faulty or is avoided.
func (t *Tracker) addEjectionFinding(now time.Duration, entry *target) {
	a := &entry.assessment
	decision := "ejected"
	switch {
	case !a.ejected:
		decision = "kept at the floor"
	case !a.faulty:
		decision = "path avoided"
	}
	t.addFinding(now, Finding{Target: entry.Name, Decision: decision, Rule: a.rule.String(),
		Evidence: t.describeEvidence(entry), SeenBy: t.zonesWithEvidence(entry, a.rule),
		Next: fmt.Sprintf("trials after %s", a.backOffUntil-now)})
}

// addFloorFinding records that the floor keeps a target in service, or no longer does.
func (t *Tracker) addFloorFinding(now time.Duration, entry *target, ejected bool) {
	if entry.assessment.changedAt == now {
		return
	}
	decision := "kept at the floor"
	if ejected {
		decision = "ejected"
	}
	t.addFinding(now, Finding{Target: entry.Name, Decision: decision, Rule: "floor",
		Evidence: []string{fmt.Sprintf("floor %d slots", t.config.FloorSlots)}, Next: "decided again at every change"})
}

// describeEvidence lists the evidence against a target.
func (t *Tracker) describeEvidence(entry *target) []string {
	lines := []string{fmt.Sprintf("score %.1f of %.1f nats, %.1f without the zone with the most evidence",
		entry.tally.all[entry.assessment.rule], t.limits[entry.assessment.rule], entry.tally.scoreWithoutTopZone(entry.assessment.rule))}
	var kinds []string
	for kind, count := range entry.resultCounts {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, count))
	}
	slices.Sort(kinds)
	lines = append(lines, "own attempts: "+strings.Join(kinds, ", "))
	if overdue := entry.overdueAttemptCount(); overdue > 0 {
		lines = append(lines, fmt.Sprintf("%d attempts have run longer than 99 in 100 do", overdue))
	}
	if entry.probeFails {
		lines = append(lines, "probes fail")
	}
	return lines
}

// zonesWithEvidence lists the zones that have evidence for a rule.
func (t *Tracker) zonesWithEvidence(entry *target, rule Rule) []string {
	var zones []string
	for i := range entry.tally.zones {
		if entry.tally.zones[i][rule] > minNewsNats {
			zones = append(zones, "zone "+t.zones[i])
		}
	}
	return zones
}

// Explain returns the findings about a target and those about the whole service,
// newest first; an empty name returns the findings about all targets.
func (t *Tracker) Explain(name string) []Finding {
	var found []Finding
	for _, finding := range slices.Backward(t.findings) {
		if name == "" || finding.Target == name || finding.Target == "" {
			found = append(found, finding)
		}
	}
	return found
}
