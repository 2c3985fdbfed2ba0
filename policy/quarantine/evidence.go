package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxCrashes bounds the crashes that are kept for one request.
const maxCrashes = 8

// Crash is the end of a target while it ran a request.
type Crash struct {
	// Target is the instance identifier of the target.
	Target string
	// Incarnation distinguishes the processes that use the identifier one after the
	// other; zero when it is not known.
	Incarnation int64
	// At is the uptime at which the crash was noticed.
	At time.Duration
	// Presumed is true when only silence points to the crash.
	Presumed bool
	// Survived is true when the target goes on accepting connections and answers other
	// requests: at most a part of it, such as a worker process, has ended.
	Survived bool
	// LeftOut holds the parts of the request that ran which the fingerprint leaves out.
	LeftOut LeftOut
}

// sameAs reports whether two reports are about the same crash. A process crashes
// once; without an incarnation, reports close in time are about the same crash, and
// silence is noticed at different times.
func (c Crash) sameAs(other Crash) bool {
	if c.Target != other.Target || c.Incarnation != other.Incarnation {
		return false
	}
	if c.Incarnation != 0 {
		return true
	}
	window := CrashDedupTime
	if c.Presumed || other.Presumed {
		window = PresumedTime
	}
	return (c.At - other.At).Abs() < window
}

// expiresAt returns the uptime from which the crash no longer counts, unless the
// request is quarantined.
func (c Crash) expiresAt() time.Duration {
	switch {
	case c.Survived:
		return c.At + SurvivedTime
	case c.Presumed:
		return c.At + PresumedTime
	}
	return c.At + SuspectTime
}

// weight returns how much the crash counts towards a quarantine.
func (c Crash) weight() int {
	if c.Survived {
		return survivedWeight
	}
	return crashWeight
}

// Evidence is what is known of a request that may crash targets.
type Evidence struct {
	Fingerprint Fingerprint
	// Request is the identity behind an exact fingerprint; zero when it is not known. The
	// crashes then count for all forms of the request.
	Request Identity
	// Crashes are the crashes that count against the request, the oldest first.
	Crashes []Crash
	// Answered is true when a target has recently sent a complete response, at the
	// uptime AnsweredAt.
	Answered   bool
	AnsweredAt time.Duration
	// Lifted is true when an operator lifted the quarantine, at the uptime LiftedAt.
	Lifted   bool
	LiftedAt time.Duration
}

// Change is what new evidence changed.
type Change struct {
	// Recorded is true when a crash was added or confirmed.
	Recorded bool
	// Quarantined is true when the request is refused from now on, Cleared when it is
	// no longer suspected or refused.
	Quarantined, Cleared bool
}

// crashList holds the crashes of one request, the oldest first.
type crashList []Crash

// add adds a crash or merges it with an earlier report of the same crash, and
// reports whether that brought anything new.
func (l *crashList) add(crash Crash) bool {
	i := slices.IndexFunc(*l, crash.sameAs)
	if i < 0 {
		*l = append(*l, crash)
		l.sort()
		*l = (*l)[:min(len(*l), maxCrashes)]
		return slices.Contains(*l, crash)
	}
	known := &(*l)[i]
	before := *known
	known.At = min(known.At, crash.At)
	known.Survived = known.Survived && crash.Survived
	known.LeftOut = before.LeftOut.mergedWith(crash.LeftOut)
	known.Presumed = (before.Presumed || before.Survived) && (crash.Presumed || crash.Survived) && !known.Survived
	l.sort()
	return before.Presumed != known.Presumed || before.Survived != known.Survived || before.LeftOut != known.LeftOut
}

func (l *crashList) sort() {
	slices.SortFunc(*l, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Target, b.Target)) })
}

// dropUntil removes the crashes that were noticed until the given uptime.
func (l *crashList) dropUntil(until time.Duration) {
	*l = slices.DeleteFunc(*l, func(c Crash) bool { return c.At <= until })
}

// dropExpired removes the crashes that no longer count.
func (l *crashList) dropExpired(now time.Duration) {
	*l = slices.DeleteFunc(*l, func(c Crash) bool { return now >= c.expiresAt() })
}

// quarantineEnd returns until when the crashes quarantine the request; zero when they
// don't.
func (l crashList) quarantineEnd() time.Duration {
	confirmed := slices.DeleteFunc(slices.Clone(l), func(c Crash) bool { return c.Presumed || c.Survived })
	if needed := confirmed.neededToQuarantine(); needed > 0 {
		return confirmed.confirmedEnd(needed)
	}
	counted := l.counted()
	if !counted.suffices() {
		return 0
	}
	// The quarantine ends when so many crashes have expired that too few are left.
	slices.SortFunc(counted, func(a, b Crash) int { return cmp.Compare(a.expiresAt(), b.expiresAt()) })
	for counted[1:].suffices() {
		counted = counted[1:]
	}
	return counted[0].expiresAt()
}

// neededToQuarantine returns how many of the crashes, the oldest first, suffice to
// quarantine the request; zero when all don't.
func (l crashList) neededToQuarantine() int {
	for n := CrashesToQuarantine; n <= len(l); n++ {
		if l[:n].suffices() {
			return n
		}
	}
	return 0
}

// confirmedEnd returns the end of the quarantine that follows from confirmed crashes, of
// which so many were needed. A form that leaves parts out may also stand for sound
// requests: its quarantine is short at first and becomes longer with each further crash.
func (l crashList) confirmedEnd(needed int) time.Duration {
	if l[0].LeftOut.IsExact() {
		return l[needed-1].At + QuarantineTime
	}
	return l[len(l)-1].At + min(FirstFormQuarantineTime<<(len(l)-needed), QuarantineTime)
}

// suffices reports whether the crashes weigh enough for a quarantine and, for a form that
// leaves parts out, come from enough different requests.
func (l crashList) suffices() bool {
	if l.weight() < quarantineWeight {
		return false
	}
	return l[0].LeftOut.IsExact() || l.areOfSeveralRequests()
}

// areOfSeveralRequests reports whether the crashes show that the parts which the form leaves
// out don't matter: without the requests that have the most frequent value of one of these
// parts, requestsToQuarantineForm different ones remain. As long as fewer remain, a form that
// includes the part explains the crashes, too, and the others may have been in progress on
// crashed targets.
func (l crashList) areOfSeveralRequests() bool {
	requests := make(map[LeftOut]bool)
	for _, c := range l {
		if c.LeftOut.Caller != PartAmbiguous && c.LeftOut.Query != PartAmbiguous {
			requests[c.LeftOut] = true
		}
	}
	callers, queries := make(map[Part]int), make(map[Part]int)
	for request := range requests {
		callers[request.Caller]++
		queries[request.Query]++
	}
	return remainEnough(callers, len(requests)) && remainEnough(queries, len(requests))
}

// remainEnough reports whether enough of the requests remain without those that have the
// most frequent value of a part, given the number of requests by value.
func remainEnough(byValue map[Part]int, requests int) bool {
	if byValue[PartIncluded] > 0 {
		return true
	}
	mostFrequent := 0
	for _, count := range byValue {
		mostFrequent = max(mostFrequent, count)
	}
	return requests-mostFrequent >= requestsToQuarantineForm
}

// counted returns the crashes without the survived ones that came too soon after another
// one: what ends the connections of several targets at one moment is no crash of theirs.
func (l crashList) counted() crashList {
	var counted, survived crashList
	for _, c := range l {
		if !c.Survived {
			counted = append(counted, c)
		} else if n := len(survived); n == 0 || c.At-survived[n-1].At >= survivedSpacing {
			survived = append(survived, c)
		}
	}
	return append(counted, survived...)
}

// weight returns the sum of the crashes' weights.
func (l crashList) weight() int {
	sum := 0
	for _, c := range l {
		sum += c.weight()
	}
	return sum
}
