package quarantine

import "time"

// maxAnswersPerGeneration bounds the memory for recent responses.
const maxAnswersPerGeneration = 8192 * formsPerRequest

// recentAnswers remembers, for AnswerValidity at least, which requests got a
// complete response. It keeps two generations and drops the older one when the
// newer one has become old or full.
type recentAnswers struct {
	newer, older map[Fingerprint]time.Duration
	startedAt    time.Duration
}

func newRecentAnswers() *recentAnswers {
	return &recentAnswers{newer: make(map[Fingerprint]time.Duration)}
}

// add remembers a response.
func (r *recentAnswers) add(fingerprint Fingerprint, at, now time.Duration) {
	if now-r.startedAt >= AnswerValidity || len(r.newer) >= maxAnswersPerGeneration {
		r.older, r.newer, r.startedAt = r.newer, make(map[Fingerprint]time.Duration), now
	}
	if known, ok := r.newer[fingerprint]; !ok || at > known {
		r.newer[fingerprint] = at
	}
}

// latest returns the time of the latest remembered response to a request.
func (r *recentAnswers) latest(fingerprint Fingerprint) (at time.Duration, ok bool) {
	if at, ok = r.newer[fingerprint]; ok {
		return at, true
	}
	at, ok = r.older[fingerprint]
	return at, ok
}
