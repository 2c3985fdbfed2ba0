package crashes

import (
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/quarantine"
)

const (
	// sendsOfNewEvidence is the number of datagrams that carry new evidence at once,
	// since a datagram may be lost.
	sendsOfNewEvidence = 3
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

// outbox decides which evidence the next datagram carries.
type outbox struct {
	// sendsLeft counts the datagrams that new evidence is still to be sent in.
	sendsLeft map[quarantine.Fingerprint]int
	// order holds the requests with new evidence, the oldest first.
	order      []quarantine.Fingerprint
	repeatedAt time.Duration
	// single and several are the next requests to be repeated of those with one crash
	// and of those with more.
	single, several cursor
}

func newOutbox() outbox {
	return outbox{sendsLeft: make(map[quarantine.Fingerprint]int)}
}

// push schedules the evidence of a request to be sent at once.
func (o *outbox) push(fingerprint quarantine.Fingerprint) {
	if _, waiting := o.sendsLeft[fingerprint]; !waiting {
		if len(o.order) >= maxNewRequests {
			return
		}
		o.order = append(o.order, fingerprint)
	}
	o.sendsLeft[fingerprint] = sendsOfNewEvidence
}

// clear removes all requests.
func (o *outbox) clear() {
	clear(o.sendsLeft)
	o.order = o.order[:0]
}

// next returns the evidence for the next datagram, taken from all that is known.
func (o *outbox) next(all []quarantine.Evidence, repeat bool, now time.Duration) []quarantine.Evidence {
	chosen := o.takeNew(all)
	if !repeat || now-o.repeatedAt < repeatInterval {
		return chosen
	}
	o.repeatedAt = now
	// The evidence is sorted by the number of crashes, the most first.
	firstSingle := slices.IndexFunc(all, func(e quarantine.Evidence) bool { return len(e.Crashes) <= 1 })
	if firstSingle < 0 {
		firstSingle = len(all)
	}
	repeated := append(o.several.take(all[:firstSingle]), o.single.take(all[firstSingle:])...)
	for _, evidence := range repeated {
		if !contains(chosen, evidence.Fingerprint) {
			chosen = append(chosen, evidence)
		}
	}
	return chosen
}

// takeNew returns new evidence and counts that it was sent once more.
func (o *outbox) takeNew(all []quarantine.Evidence) []quarantine.Evidence {
	var chosen []quarantine.Evidence
	var waiting []quarantine.Fingerprint
	for _, fingerprint := range o.order {
		i := slices.IndexFunc(all, func(e quarantine.Evidence) bool { return e.Fingerprint == fingerprint })
		if i >= 0 && len(chosen) < maxRequestsPerDatagram {
			chosen = append(chosen, all[i])
			o.sendsLeft[fingerprint]--
		}
		if i < 0 || o.sendsLeft[fingerprint] <= 0 {
			delete(o.sendsLeft, fingerprint)
			continue
		}
		waiting = append(waiting, fingerprint)
	}
	o.order = waiting
	return chosen
}

func contains(chosen []quarantine.Evidence, fingerprint quarantine.Fingerprint) bool {
	return slices.ContainsFunc(chosen, func(e quarantine.Evidence) bool { return e.Fingerprint == fingerprint })
}

// cursor goes round a changing list.
type cursor struct{ next int }

// take returns the next maxRepeatedOfGroup elements, or all when there are fewer.
func (c *cursor) take(group []quarantine.Evidence) []quarantine.Evidence {
	var taken []quarantine.Evidence
	for range min(len(group), maxRepeatedOfGroup) {
		c.next %= len(group)
		taken = append(taken, group[c.next])
		c.next++
	}
	return taken
}
