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
	known.Presumed = (before.Presumed || before.Survived) && (crash.Presumed || crash.Survived) && !known.Survived
	l.sort()
	return before.Presumed != known.Presumed || before.Survived != known.Survived
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
	if len(confirmed) >= CrashesToQuarantine {
		return confirmed[CrashesToQuarantine-1].At + QuarantineTime
	}
	counted := l.counted()
	if counted.weight() < quarantineWeight {
		return 0
	}
	// The quarantine ends when so many crashes have expired that too few are left.
	slices.SortFunc(counted, func(a, b Crash) int { return cmp.Compare(a.expiresAt(), b.expiresAt()) })
	for len(counted) > 1 && counted[1:].weight() >= quarantineWeight {
		counted = counted[1:]
	}
	return counted[0].expiresAt()
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
