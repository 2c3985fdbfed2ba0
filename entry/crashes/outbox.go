package crashes

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/cursor"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

const (
	// sendsOfNewEvidence is the number of datagrams that carry new evidence at once,
	// since a datagram may be lost.
	sendsOfNewEvidence = 3
	// heartbeatsOfNewEvidence is the number of heartbeats that carry new evidence: VMs that are
	// no primary VMs get no other datagrams.
	heartbeatsOfNewEvidence = 2
	// maxNewRequests bounds the requests with new evidence that are still to be sent at
	// once; all are repeated in any case.
	maxNewRequests = 256
	// maxRequestsPerDatagram bounds the requests in one datagram, so that it usually
	// fits into one network packet.
	maxRequestsPerDatagram = 8
	// repeatInterval is the time between two datagrams with repeated evidence.
	repeatInterval = 400 * time.Millisecond
	// maxRepeatedOfGroup bounds the repeated requests in one datagram, for those with
	// one crash and for those with more.
	maxRepeatedOfGroup = 4
)

// outbox decides which evidence the next datagram carries: what is new and, at
// intervals, a part of all that is known.
type outbox struct {
	// left holds in how many datagrams new evidence is still to be sent.
	left map[quarantine.Fingerprint]sendsLeft
	// order holds the requests with new evidence, the oldest first.
	order      []quarantine.Fingerprint
	repeatedAt time.Duration
	// single and several are the next requests to be repeated of those with one crash
	// and of those with more.
	single, several cursor.Cursor
}

// sendsLeft counts the datagrams of all kinds, and the heartbeats, that new evidence is still
// to be sent in.
type sendsLeft struct{ any, heartbeats int }

// isDue reports whether the next datagram is to carry the evidence.
func (s sendsLeft) isDue(isHeartbeat bool) bool {
	return s.any > 0 || isHeartbeat && s.heartbeats > 0
}

// after returns what is left after one more datagram.
func (s sendsLeft) after(isHeartbeat bool) sendsLeft {
	s.any = max(s.any-1, 0)
	if isHeartbeat {
		s.heartbeats = max(s.heartbeats-1, 0)
	}
	return s
}

func newOutbox() outbox {
	return outbox{left: make(map[quarantine.Fingerprint]sendsLeft)}
}

// push schedules the evidence of a request to be sent at once.
func (o *outbox) push(fingerprint quarantine.Fingerprint) {
	if _, waiting := o.left[fingerprint]; !waiting {
		if len(o.order) >= maxNewRequests {
			return
		}
		o.order = append(o.order, fingerprint)
	}
	o.left[fingerprint] = sendsLeft{any: sendsOfNewEvidence, heartbeats: heartbeatsOfNewEvidence}
}

// relay schedules the evidence of a request, which another VM sent, for the next heartbeats:
// VMs of this zone that are no primary VMs get none of that VM.
func (o *outbox) relay(fingerprint quarantine.Fingerprint) {
	left, waiting := o.left[fingerprint]
	if !waiting {
		if len(o.order) >= maxNewRequests {
			return
		}
		o.order = append(o.order, fingerprint)
	}
	left.heartbeats = heartbeatsOfNewEvidence
	o.left[fingerprint] = left
}

// clear removes all requests.
func (o *outbox) clear() {
	clear(o.left)
	o.order = o.order[:0]
}

// takeNew returns the new evidence for the next datagram and counts that it was sent
// once more.
func (o *outbox) takeNew(isHeartbeat bool, evidenceOf func(quarantine.Fingerprint) (quarantine.Evidence, bool)) []quarantine.Evidence {
	var chosen []quarantine.Evidence
	waiting := o.order[:0]
	for _, fingerprint := range o.order {
		evidence, known := evidenceOf(fingerprint)
		if left := o.left[fingerprint]; known && left.isDue(isHeartbeat) && len(chosen) < maxRequestsPerDatagram {
			chosen = append(chosen, evidence)
			o.left[fingerprint] = left.after(isHeartbeat)
		}
		if !known || o.left[fingerprint] == (sendsLeft{}) {
			delete(o.left, fingerprint)
			continue
		}
		waiting = append(waiting, fingerprint)
	}
	o.order = waiting
	return chosen
}

// repeatIsDue reports whether the next datagram repeats evidence.
func (o *outbox) repeatIsDue(now time.Duration) bool { return now-o.repeatedAt >= repeatInterval }

// repeat adds the next part of all evidence, which is sorted by the number of crashes,
// the most first, to what was chosen before.
func (o *outbox) repeat(chosen, all []quarantine.Evidence, now time.Duration) []quarantine.Evidence {
	o.repeatedAt = now
	firstSingle := slices.IndexFunc(all, func(e quarantine.Evidence) bool { return len(e.Crashes) <= 1 })
	if firstSingle < 0 {
		firstSingle = len(all)
	}
	repeated := append(cursor.Take(&o.several, all[:firstSingle], maxRepeatedOfGroup), cursor.Take(&o.single, all[firstSingle:], maxRepeatedOfGroup)...)
	for _, evidence := range repeated {
		if !contains(chosen, evidence.Fingerprint) {
			chosen = append(chosen, evidence)
		}
	}
	return chosen
}

func contains(chosen []quarantine.Evidence, fingerprint quarantine.Fingerprint) bool {
	return slices.ContainsFunc(chosen, func(e quarantine.Evidence) bool { return e.Fingerprint == fingerprint })
}
