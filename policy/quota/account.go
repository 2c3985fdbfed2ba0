package quota

import (
	"math"
	"time"
)

const (
	// rateTime is the time constant of the average rates. It covers two to three heartbeats,
	// so that one lost datagram changes the expectation little.
	rateTime = 500 * time.Millisecond
	// unheardTime is the time in which other VMs usually hear of a request.
	unheardTime = 150 * time.Millisecond
	// creditTime bounds the refill that is credited back, see account.surplus.
	creditTime = 250 * time.Millisecond
)

// account is what a VM knows of one customer's requests.
type account struct {
	customer Customer
	name     string
	limit    Limit
	aim      Limit
	margin   float64
	// tokens is the content of the bucket at updatedAt; negative while there is a deficit.
	tokens    float64
	updatedAt time.Duration
	usedAt    time.Duration
	// expected is the rate at which other VMs are expected to admit requests, a second.
	expected float64
	// surplus is refill that was lost because the bucket was full. When a late report shows
	// that it was not full, the surplus is credited.
	surplus float64
	// silentShare is the fraction of the serving VMs that are silent, held the tokens that are
	// held for them, and released those that are not held any more and not in the bucket yet.
	silentShare, held, released float64
	// before holds the tokens of about one and two silenceTime ago; the latest ones of
	// beforeAt.
	before   [2]float64
	beforeAt time.Duration
	// rate is the rate of this VM's own admissions a second, unheard about the number that
	// other VMs have not heard of yet.
	rate, unheard float64
	own           ownCount
	use           use
	peers         []peerUse
	// refusedAt is when the customer was last refused; it counts when wasRefused is true.
	refusedAt  time.Duration
	wasRefused bool
}

// setLimit applies the limit in force. A lower burst takes effect at once, since advance
// caps the tokens.
func (a *account) setLimit(settings Settings, limit Limit) {
	if a.limit == limit && a.aim.Burst > 0 {
		return
	}
	a.limit, a.aim = limit, settings.aim(limit)
	a.margin = settings.margin(limit, a.aim)
	a.surplus = min(a.surplus, a.aim.Rate*creditTime.Seconds())
}

// advance brings the account up to date. Silent of the serving VMs are silent.
func (a *account) advance(now time.Duration, silent, serving int) {
	if elapsed := (now - a.updatedAt).Seconds(); elapsed > 0 {
		a.updatedAt = now
		decay := math.Exp(-elapsed / rateTime.Seconds())
		refill := a.aim.Rate * elapsed
		a.tokens += refill*(1-a.silentShare) - expectedUse(a.expected, decay)
		a.held += refill * a.silentShare
		a.tokens += a.released * (1 - decay)
		a.released *= decay
		a.expected *= decay
		a.rate *= decay
		a.unheard *= math.Exp(-elapsed / unheardTime.Seconds())
	}
	a.setSilent(float64(silent) / float64(serving))
	ceiling := max(a.aim.Burst*(1-a.silentShare), 1)
	if a.tokens > ceiling {
		a.surplus = min(a.surplus+a.tokens-ceiling, a.aim.Rate*creditTime.Seconds())
		a.tokens = ceiling
	}
	a.remember(now)
}

// setSilent applies the fraction of the serving VMs that are silent. When it rises, tokens
// are held for the silent VMs: their share of those that there were when they were heard
// last and of the refill since then. When it falls, the tokens held for the others are
// released in about rateTime, since the reports of what they have used come one by one.
func (a *account) setSilent(share float64) {
	switch {
	case share > a.silentShare:
		refill := a.aim.Rate * silenceTime.Seconds()
		held := (share - a.silentShare) * (max(a.tokens, a.before[0], a.before[1], 0) + refill)
		a.tokens -= held
		a.held += held
	case share < a.silentShare:
		// A bucket holds no more than the burst, whatever was held for it.
		released := min(a.held, (a.silentShare-share)*a.aim.Burst)
		a.released += released
		a.held -= released
	}
	a.silentShare = share
	if share == 0 {
		a.held = 0
	}
}

// remember keeps the tokens of up to silenceTime ago.
func (a *account) remember(now time.Duration) {
	if now-a.beforeAt < silenceTime {
		return
	}
	a.before[0], a.before[1], a.beforeAt = a.before[1], a.tokens, now
}

// expectedUse returns the requests that a VM with a rate is expected to admit in the time in
// which the rate decays by a factor.
func expectedUse(rate, decay float64) float64 { return rate * rateTime.Seconds() * (1 - decay) }

// drawHeld returns how many of the requests of a VM that was silent are left to charge, after
// those for which tokens are held.
func (a *account) drawHeld(requests float64) float64 {
	drawn := min(max(requests, 0), a.held)
	a.held -= drawn
	return requests - drawn
}

// charge charges requests of another VM that were not expected, or credits those that were
// expected and did not come. Elapsed is the time since the VM's report before.
func (a *account) charge(requests float64, elapsed time.Duration, window time.Duration) {
	if requests > 0 {
		credit := min(a.surplus, requests, a.aim.Rate*min(elapsed, creditTime).Seconds())
		a.surplus -= credit
		requests -= credit
	}
	// A deficit of more than a window's requests cannot keep the bound any better.
	a.tokens = max(a.tokens-requests, -a.aim.Rate*window.Seconds()-a.aim.Burst)
}

// mayAdmit reports whether another request is within the limit and within this VM's share
// of what is left. Serving is the number of VMs that serve callers.
func (a *account) mayAdmit(serving int) bool {
	return a.tokens >= 1 && a.unheard+1 <= a.unheardLimit(serving)
}

const (
	// minUnheard is the number of requests that a VM may admit at any time before others hear
	// of them, so that a customer with a low rate can use its burst at one VM.
	minUnheard = 10
	// minEvenShares is the least share of a VM, in even shares.
	minEvenShares = 2
	// noOtherUse is the rate of other VMs, as a fraction of the limit, that counts as none.
	noOtherUse = 0.02
)

// unheardLimit returns the number of requests that this VM may admit before others hear of
// them.
func (a *account) unheardLimit(serving int) float64 {
	if serving <= 1 || a.expected <= noOtherUse*a.aim.Rate {
		return math.Inf(1)
	}
	share := max(minEvenShares/float64(serving), a.rate/(a.rate+a.expected))
	return max(share*(max(a.tokens, 0)+a.unheard+a.margin), minUnheard)
}

// isClose reports whether less than half of the burst is left.
func (a *account) isClose() bool { return a.tokens < a.aim.Burst/2 }

// needsReport reports whether other VMs should hear of this VM's requests at once: less than
// half of the burst is left, and the bound is at risk if each VM has admitted as many
// requests that it has not reported as this one.
func (a *account) needsReport(serving int) bool {
	return serving > 1 && a.own.reporting && a.isClose() &&
		float64(a.own.unreported())*float64(serving) >= max(a.tokens, 0)+a.margin/2
}

// admit charges a request of this VM.
func (a *account) admit() {
	a.tokens--
	a.unheard++
	a.rate += 1 / rateTime.Seconds()
}

// wait returns the time until the next request is within the limit.
func (a *account) wait() time.Duration {
	rate := max(a.aim.Rate*(1-a.silentShare), math.SmallestNonzeroFloat32)
	seconds := max(1-a.tokens, 0) / rate
	return min(max(time.Duration(min(seconds, maxWait.Seconds())*float64(time.Second)), minWait), maxWait)
}

// Bounds of the time after which a refused caller is told to come again.
const (
	minWait = 100 * time.Millisecond
	maxWait = time.Minute
)
