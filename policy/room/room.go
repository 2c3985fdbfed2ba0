package room

import "time"

// Load is the use of a service by all VMs together.
type Load struct {
	// Slots is the number of slots of the usable targets, InProgress the number of attempts
	// there, running and waiting. Targets that are probably faulty count in part.
	Slots, InProgress float64
	// MeanRunTime is the mean duration of an attempt, without waiting.
	MeanRunTime time.Duration
}

// share returns the attempts in progress for each slot; a service without slots is full.
func (l Load) share() float64 {
	if l.Slots <= 0 {
		return 1 + maxWaiting
	}
	return l.InProgress / l.Slots
}

// waiting returns the requests that wait for each slot.
func (l Load) waiting() float64 { return max(l.share()-1, 0) }

// Request describes the request that wants to be admitted.
type Request struct {
	// Priority is its rank; 0 is the most urgent.
	Priority int
	// Customer is the name of its customer; empty when it has none. Such a request never exceeds
	// an entitlement.
	Customer string
	// RunTime is the expected duration of its attempt, without waiting.
	RunTime time.Duration
	// Remaining is the time until its response is due, Useful the time within which the
	// response has its full value.
	Remaining, Useful time.Duration
	// IsRetry is true when the request has already spent an attempt.
	IsRetry bool
}

// Cause is why a request is refused.
type Cause string

// The causes.
const (
	CauseNone Cause = ""
	// CauseTooLate means that the request could not finish within its time.
	CauseTooLate Cause = "too_late"
	// CauseUrgency means that more urgent work fills the service, or that its own priority is
	// admitted in part.
	CauseUrgency Cause = "urgency"
	// CauseExcess means that its customer is beyond its entitlement.
	CauseExcess Cause = "excess"
)

// Decision says whether a request is admitted.
type Decision struct {
	// Cause is why not; CauseNone when it is admitted.
	Cause Cause
	// RetryAfter is the middle of the time in which room is expected for the request.
	RetryAfter time.Duration
	// Level is the share of the arriving work that is admitted now.
	Level float64
}

// Admitted reports whether the request is admitted.
func (d Decision) Admitted() bool { return d.Cause == CauseNone }

const (
	// maxWaiting is the number of waiting requests for each slot at which nothing more is
	// admitted. It leaves room above the 2 at which placement refuses elsewhere, since the most
	// urgent requests need places while the least urgent ones are already refused.
	maxWaiting = 3
	// burstLevelPart and lastingLevelPart are the parts of the most waiting requests up to which
	// everything is admitted, in a burst and in a lasting overload. The slope above is gentle
	// enough for load reports that are 100 ms old.
	burstLevelPart, lastingLevelPart = 0.85, 0.2
	// burstPart and lastingPart are the multiples of the useful time within which responses are
	// expected when nothing more is admitted. Placement lets no request wait for longer than 1.27
	// times its useful time; in a lasting overload most responses keep their full value.
	burstPart, lastingPart = 1.25, 0.6
	// minMaxWaiting keeps all slots busy where responses are due at once.
	minMaxWaiting = 0.3
	// excessFrom and excessUntil are the loads, in attempts for each slot, between which the
	// excess of customers is admitted in part.
	excessFrom, excessUntil = 0.65, 0.85
	// leastUrgentPart is the part of the arriving work that may be less urgent than a priority
	// that still counts as the least urgent one.
	leastUrgentPart = 0.01
	// minRetryAfter and maxRetryAfter bound the time after which callers come back.
	minRetryAfter, maxRetryAfter = 150 * time.Millisecond, 3 * time.Second
)

// QueuePerSlot is the number of requests that may wait at one target for each of its slots
// where this package decides.
const QueuePerSlot = maxWaiting

// Service is what a VM remembers of the requests of one service. The zero value is ready for
// use. It is not safe for concurrent use.
type Service struct {
	mix       mix
	customers customers
	overload  overload
}

// Decide returns whether a request is admitted, and counts it among the arrivals. The uptime
// must not decrease from call to call.
func (s *Service) Decide(load Load, request Request, now time.Duration) Decision {
	s.overload.observe(load, now)
	account := s.customers.account(request.Customer, now)
	inExcess := false
	if !request.IsRetry {
		work := request.RunTime.Seconds()
		s.customers.advance(load.share(), s.hasExcess(load), now)
		if request.Customer != "" {
			inExcess = s.customers.charge(account, work, load.MeanRunTime.Seconds(), now)
		}
		s.mix.add(request, inExcess, now)
	}
	wait := time.Duration(load.waiting() * float64(load.MeanRunTime))
	if wait > 0 && wait+request.RunTime > request.Remaining {
		decision := refuse(CauseTooLate, 1, load)
		decision.Level = s.level(load)
		return decision
	}
	part, cause := s.part(load, request, inExcess)
	if account.passes(part) {
		return Decision{Level: s.level(load)}
	}
	decision := refuse(cause, part, load)
	decision.Level = s.level(load)
	return decision
}

// part returns the part of the requests like this one that is admitted, and the cause for the
// others.
func (s *Service) part(load Load, request Request, inExcess bool) (float64, Cause) {
	band := s.mix.band(request.Priority)
	level := s.level(load)
	if request.IsRetry {
		return oneIfBelow(level, band.from), CauseUrgency
	}
	if !inExcess || !s.hasExcess(load) {
		return fractionBelow(level, band.from, band.from+band.within), CauseUrgency
	}
	part := fractionBelow(level, band.from+band.within, band.until)
	if band.until >= 1-leastUrgentPart {
		part = min(part, fractionBelow(excessUntil-load.share(), 0, excessUntil-excessFrom))
	}
	return part, CauseExcess
}

// hasExcess reports whether customers exceed their entitlements by more than comes from chance.
func (s *Service) hasExcess(load Load) bool {
	return s.mix.hasExcess(minExcessRequests * load.MeanRunTime.Seconds())
}

// level returns the share of the arriving work that is admitted.
func (s *Service) level(load Load) float64 {
	burst, lasting := s.maxWaiting(load.MeanRunTime)
	lasted := s.overload.lasted()
	none := burst + lasted*(lasting-burst)
	all := burst*burstLevelPart + lasted*(lasting*lastingLevelPart-burst*burstLevelPart)
	return fractionBelow(none-load.waiting(), 0, none-all)
}

// maxWaiting returns the waiting requests for each slot at which nothing more is admitted, in a
// burst and in a lasting overload: fewer where the responses would lose their full value.
func (s *Service) maxWaiting(meanRunTime time.Duration) (burst, lasting float64) {
	useful, run, known := s.mix.means()
	if !known || meanRunTime <= 0 {
		return maxWaiting, maxWaiting
	}
	limit := func(part float64) float64 {
		return min(max((part*useful-run)/meanRunTime.Seconds(), minMaxWaiting), maxWaiting)
	}
	return limit(burstPart), limit(lastingPart)
}

// fractionBelow returns which part of the band between from and until lies below the level.
func fractionBelow(level, from, until float64) float64 {
	if until <= from {
		return oneIfBelow(level, from)
	}
	return min(max((level-from)/(until-from), 0), 1)
}

// oneIfBelow returns 1 when the beginning of a band lies below the level, and otherwise 0.
func oneIfBelow(level, from float64) float64 {
	if level > from {
		return 1
	}
	return 0
}

// refuse returns a refusal. The smaller the part that is admitted, the longer a caller has to
// wait until its turn, at most maxRetryAfter.
func refuse(cause Cause, part float64, load Load) Decision {
	drain := time.Duration(max(load.waiting(), 1) * float64(load.MeanRunTime))
	wait := time.Duration(min(float64(drain)/max(part, 0.1), float64(maxRetryAfter)))
	return Decision{Cause: cause, RetryAfter: max(wait, minRetryAfter)}
}
