package measure

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/health"
)

// twoChoices picks the one of two random targets with fewer attempts in progress
// from this VM.
type twoChoices struct {
	random   *rand.Rand
	inFlight []int
}

// NewTwoChoices builds the chooser that picks the less busy of two random targets.
func NewTwoChoices(config *DeciderConfig) Chooser {
	return &twoChoices{random: config.Random, inFlight: make([]int, config.Targets)}
}

// Choose implements Chooser.
func (c *twoChoices) Choose(_ time.Duration, request *Request, weights []float64) (int, bool) {
	first, ok := c.draw(request, weights)
	if !ok {
		return 0, false
	}
	second, _ := c.draw(request, weights)
	if c.inFlight[second] < c.inFlight[first] {
		return second, true
	}
	return first, true
}

// draw picks a target with a probability in proportion to its weight, by
// rejection sampling; when all draws are rejected, it picks any target of
// positive weight.
func (c *twoChoices) draw(request *Request, weights []float64) (int, bool) {
	const maxDraws = 16
	for range maxDraws {
		target := c.random.IntN(len(weights))
		if c.random.Float64() < weights[target] && !slices.Contains(request.Exclude, target) {
			return target, true
		}
	}
	for _, target := range c.random.Perm(len(weights)) {
		if weights[target] > 0 && !slices.Contains(request.Exclude, target) {
			return target, true
		}
	}
	return 0, false
}

// Started implements Chooser.
func (c *twoChoices) Started(_ time.Duration, target int) { c.inFlight[target]++ }

// Ended implements Chooser.
func (c *twoChoices) Ended(_ time.Duration, target int, _ health.Kind) { c.inFlight[target]-- }

// Reported implements Chooser.
func (c *twoChoices) Reported(time.Duration, int, LoadReport) {}

// roundRobin picks the targets in turn.
type roundRobin struct {
	next int
}

// NewRoundRobin builds the chooser that picks the targets in turn.
func NewRoundRobin(config *DeciderConfig) Chooser {
	return &roundRobin{next: config.Random.IntN(config.Targets)}
}

// Choose implements Chooser.
func (c *roundRobin) Choose(_ time.Duration, request *Request, weights []float64) (int, bool) {
	for range weights {
		c.next = (c.next + 1) % len(weights)
		if weights[c.next] > 0 && !slices.Contains(request.Exclude, c.next) {
			return c.next, true
		}
	}
	return 0, false
}

// Started implements Chooser.
func (c *roundRobin) Started(time.Duration, int) {}

// Ended implements Chooser.
func (c *roundRobin) Ended(time.Duration, int, health.Kind) {}

// Reported implements Chooser.
func (c *roundRobin) Reported(time.Duration, int, LoadReport) {}

// openAdmission queues requests in order of arrival and refuses them beyond
// openQueueLimit. It has no customer limits.
type openAdmission struct {
	queue []*Request
}

// openQueueLimit is the maximum number of requests that wait on a VM.
const openQueueLimit = 1000

// NewOpenAdmission builds the admission without customer limits.
func NewOpenAdmission(*DeciderConfig) Admission { return new(openAdmission) }

// Arrived implements Admission.
func (a *openAdmission) Arrived(_ time.Duration, request *Request) bool {
	if len(a.queue) >= openQueueLimit {
		return false
	}
	a.queue = append(a.queue, request)
	return true
}

// Peek implements Admission.
func (a *openAdmission) Peek(time.Duration) *Request {
	if len(a.queue) == 0 {
		return nil
	}
	return a.queue[0]
}

// Pop implements Admission.
func (a *openAdmission) Pop(time.Duration) { a.queue = a.queue[1:] }

// Ended implements Admission.
func (a *openAdmission) Ended(time.Duration, *Request, bool) {}

// budgetRetrier limits retries to a share of the requests.
type budgetRetrier struct {
	tokens float64
}

// Retry budget of the baselines: a share of the requests, and a burst of retries.
const (
	retryShare = 0.1
	retryBurst = 5.0
)

// NewBudgetRetrier builds the retrier that allows one retry per ten requests.
func NewBudgetRetrier(*DeciderConfig) Retrier { return &budgetRetrier{tokens: retryBurst} }

// Sent implements Retrier.
func (b *budgetRetrier) Sent(time.Duration, *Request) {
	b.tokens = min(retryBurst, b.tokens+retryShare)
}

// Retry implements Retrier.
func (b *budgetRetrier) Retry(_ time.Duration, _ *Request, _ health.Kind) bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
