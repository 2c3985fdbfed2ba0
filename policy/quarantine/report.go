package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// List returns the suspects and quarantines for operators, sorted by fingerprint. A suspect
// is listed by its exact form only.
func (t *Table) List(now time.Duration) []Entry {
	return slices.DeleteFunc(t.Known(now), func(e Entry) bool { return !e.Quarantined && !e.IsExact() })
}

// Known returns all suspects and quarantines, sorted by fingerprint.
func (t *Table) Known(now time.Duration) []Entry {
	rows := make([]Entry, 0, len(t.entries))
	for fingerprint := range t.entries {
		e, ok := t.lookup(fingerprint, now)
		if !ok || !e.isSuspect() {
			continue
		}
		rows = append(rows, e.row())
	}
	slices.SortFunc(rows, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return rows
}

// EvidenceOf returns what other VMs should know of one fingerprint; ok is false when there
// is nothing. The crashes of a form that leaves parts out follow from those of the exact
// ones.
func (t *Table) EvidenceOf(fingerprint Fingerprint, now time.Duration) (evidence Evidence, ok bool) {
	e, ok := t.lookup(fingerprint, now)
	if !ok {
		return Evidence{}, false
	}
	evidence = Evidence{Fingerprint: fingerprint, Request: e.request}
	if e.isExact() {
		evidence.Crashes = slices.Clone(e.crashes)
	}
	if now < e.contestedUntil {
		evidence.AnsweredAt, evidence.Answered = t.answers.latest(fingerprint)
	}
	if e.liftKnownUntil > 0 {
		evidence.LiftedAt, evidence.Lifted = e.liftedAt, true
	}
	return evidence, len(evidence.Crashes) > 0 || evidence.Answered || evidence.Lifted
}

// hash returns a hash of one crash of a request, without its time.
func (c Crash) hash(fingerprint Fingerprint) uint64 {
	kind := byte(0)
	if c.Presumed {
		kind |= 1
	}
	if c.Survived {
		kind |= 2
	}
	content := binary.LittleEndian.AppendUint64(nil, uint64(fingerprint))
	content = binary.LittleEndian.AppendUint64(content, uint64(c.Incarnation))
	return xxhash.Sum64(append(append(content, kind), c.Target...))
}

// liftHash returns a hash of the lift of a request.
func liftHash(fingerprint Fingerprint) uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte("lifted"), uint64(fingerprint)))
}

// Evidence returns what other VMs should know of all requests, those with the most
// crashes first.
func (t *Table) Evidence(now time.Duration) []Evidence {
	all := make([]Evidence, 0, len(t.entries))
	for fingerprint := range t.entries {
		if evidence, ok := t.EvidenceOf(fingerprint, now); ok {
			all = append(all, evidence)
		}
	}
	slices.SortFunc(all, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return all
}
