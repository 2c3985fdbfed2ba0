package health

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Finding is one decision and its grounds.
type Finding struct {
	// Target is empty when the finding is about the whole service.
	Target   string
	Decision string
	Rule     string
	// Evidence lists what was seen, SeenBy the VMs or zones that saw it.
	Evidence []string
	SeenBy   []string
	Since    time.Duration
	Next     string
}

// findingLimit bounds the findings kept.
const findingLimit = 128

// note keeps a finding, and drops one that repeats the last.
func (t *Tracker) note(now time.Duration, finding Finding) {
	finding.Since = now
	if last := len(t.findings) - 1; last >= 0 {
		previous := &t.findings[last]
		same := previous.Target == finding.Target && previous.Decision == finding.Decision && previous.Rule == finding.Rule
		if same {
			return
		}
	}
	if len(t.findings) >= findingLimit {
		t.findings = slices.Delete(t.findings, 0, findingLimit/4)
	}
	t.findings = append(t.findings, finding)
}

// noteOut notes a conviction or an avoidance.
func (t *Tracker) noteOut(now time.Duration, entry *target) {
	if t.config.VM == "vm05" {
	}
	v := &entry.verdict
	decision := "ejected"
	switch {
	case !v.ejected:
		decision = "kept at the floor"
	case !v.convicted:
		decision = "path avoided"
	}
	t.note(now, Finding{Target: entry.Name, Decision: decision, Rule: v.rule.String(),
		Evidence: t.evidenceOf(entry), SeenBy: t.seenBy(entry, v.rule),
		Next: fmt.Sprintf("trials after %s", v.until-now)})
}

// noteFloor notes that the floor keeps a target in, or no longer does.
func (t *Tracker) noteFloor(now time.Duration, entry *target, out bool) {
	if entry.verdict.since == now {
		return
	}
	decision := "kept at the floor"
	if out {
		decision = "ejected"
	}
	t.note(now, Finding{Target: entry.Name, Decision: decision, Rule: "floor",
		Evidence: []string{fmt.Sprintf("floor %d slots", t.config.FloorSlots)}, Next: "decided anew at every change"})
}

// evidenceOf lists what speaks against a target.
func (t *Tracker) evidenceOf(entry *target) []string {
	lines := []string{fmt.Sprintf("score %.1f of %.1f nats, %.1f without the zone that proves most",
		entry.tally.all[entry.verdict.rule], t.limits[entry.verdict.rule], entry.tally.least(entry.verdict.rule))}
	var kinds []string
	for kind, count := range entry.seen {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, count))
	}
	slices.Sort(kinds)
	lines = append(lines, "own attempts: "+strings.Join(kinds, ", "))
	if old := entry.oldCount(); old > 0 {
		lines = append(lines, fmt.Sprintf("%d attempts older than 99 in 100", old))
	}
	if entry.probeBad {
		lines = append(lines, "probes fail")
	}
	return lines
}

// seenBy lists the zones whose evidence speaks for a rule.
func (t *Tracker) seenBy(entry *target, rule Rule) []string {
	var zones []string
	for i := range entry.tally.zones {
		if entry.tally.zones[i][rule] > newsStep {
			zones = append(zones, "zone "+t.zones[i])
		}
	}
	return zones
}

// Explain returns the findings about a target, newest first; an empty name
// gives those of the whole service.
func (t *Tracker) Explain(name string) []Finding {
	var found []Finding
	for _, finding := range slices.Backward(t.findings) {
		if name == "" || finding.Target == name || finding.Target == "" {
			found = append(found, finding)
		}
	}
	return found
}
