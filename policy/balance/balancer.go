package balance

import (
	"math/rand/v2"
	"slices"
)

const (
	// remoteZonePenalty is added to the load of a target in another zone, as a
	// fraction of a target's capacity. It bounds how much more load the targets
	// of the preferred zone get.
	remoteZonePenalty = 0.1
	// sampledTargets is the number of random targets compared for each attempt.
	sampledTargets = 2
	// maxDraws bounds the random draws before all targets are scanned.
	maxDraws = 8
)

// Target describes one target to a Balancer.
type Target struct {
	Name string
	Zone string
	// Limit is the number of requests that this VM may have in progress at the
	// target.
	Limit int
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Extra is the number of requests beyond Limit that may wait at the target
	// when no other target is below its limit.
	Extra int
}

// Condition is the state of a target's health.
type Condition struct {
	// Weight ranges from 0 (no requests) to 1 (a full share).
	Weight float64
	// TrialsOnly admits only idempotent requests.
	TrialsOnly bool
}

// Criteria describes which targets an attempt may use.
type Criteria struct {
	// Zone is the preferred zone.
	Zone string
	// Exclude names targets not to use.
	Exclude []string
	// Idempotent is true when the request may run more than once.
	Idempotent bool
	// AllowExtra allows a target at its limit, within its Extra, when none is
	// below its limit.
	AllowExtra bool
}

// tier classifies a target by its free capacity.
type tier int8

// The tiers. A target below its limit is in tierFree, one that may take extra
// requests in tierExtra; both tiers have a list in Balancer.byTier.
const (
	tierFree tier = iota
	tierExtra
	tierClosed
)

// Balancer chooses targets for one VM. It keeps the targets with free capacity
// in separate lists, so the cost of a choice usually does not grow with the number
// of targets.
type Balancer struct {
	targets []targetState
	byName  map[string]int
	// byTier holds the indexes of the targets in tierFree and in tierExtra.
	byTier [tierClosed][]int
}

// targetState is a target with its health and load.
type targetState struct {
	Target
	condition Condition
	inFlight  int
	// othersInFlight is the reported number of requests in progress from other VMs.
	othersInFlight float64
	// paused excludes a target that shed a request from selection.
	paused bool
	// tier is the target's present tier and tierIndex its index in the tier's
	// list.
	tier      tier
	tierIndex int
}

// NewBalancer returns a balancer without targets.
func NewBalancer() *Balancer {
	return &Balancer{byName: make(map[string]int)}
}

// Configure replaces the targets. Targets that remain keep their state; a new
// target starts healthy and idle.
func (b *Balancer) Configure(targets []Target) {
	old := *b
	b.targets = make([]targetState, 0, len(targets))
	b.byName = make(map[string]int, len(targets))
	b.byTier = [tierClosed][]int{}
	for i, target := range targets {
		next := targetState{Target: target, condition: Condition{Weight: 1}}
		if at, ok := old.byName[target.Name]; ok {
			next = old.targets[at]
			next.Target = target
		}
		next.tier = tierClosed
		b.targets = append(b.targets, next)
		b.byName[target.Name] = i
		b.update(i)
	}
}

// SetCondition sets the condition of a target.
func (b *Balancer) SetCondition(name string, condition Condition) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].condition = condition
		b.update(at)
	}
}

// SetOthersInFlight sets the number of requests that other VMs have in progress
// at a target.
func (b *Balancer) SetOthersInFlight(name string, inFlight float64) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].othersInFlight = max(inFlight, 0)
	}
}

// SetPaused excludes a target from selection, or admits it again, whatever its
// health. A target is paused after it shed a request.
func (b *Balancer) SetPaused(name string, paused bool) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].paused = paused
		b.update(at)
	}
}

// InFlight returns the number of requests in progress at a target.
func (b *Balancer) InFlight(name string) int {
	if at, ok := b.byName[name]; ok {
		return b.targets[at].inFlight
	}
	return 0
}

// Accepts reports whether a target may take one more request now, counting
// extra requests.
func (b *Balancer) Accepts(name string) bool {
	at, ok := b.byName[name]
	return ok && b.targets[at].tier != tierClosed
}

// HasRoom reports whether any target is below its limit.
func (b *Balancer) HasRoom() bool { return len(b.byTier[tierFree]) > 0 }

// HasExtraRoom reports whether any target may take an extra request.
func (b *Balancer) HasExtraRoom() bool { return len(b.byTier[tierExtra]) > 0 }

// SetExtra changes the number of extra requests that a target may take.
func (b *Balancer) SetExtra(name string, extra int) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].Extra = extra
		b.update(at)
	}
}

// CountUsable returns the number of targets that meet the criteria, including
// those that have no free capacity now.
func (b *Balancer) CountUsable(criteria Criteria) int {
	count := 0
	for i := range b.targets {
		if b.targets[i].condition.Weight > 0 && b.targets[i].Limit > 0 && b.targets[i].admits(criteria) {
			count++
		}
	}
	return count
}

// Take chooses a target with free capacity and counts the attempt against it.
func (b *Balancer) Take(rng *rand.Rand, criteria Criteria) (string, bool) {
	at := b.choose(rng, criteria, b.byTier[tierFree])
	if at < 0 && criteria.AllowExtra {
		at = b.choose(rng, criteria, b.byTier[tierExtra])
	}
	if at < 0 {
		return "", false
	}
	b.targets[at].inFlight++
	b.update(at)
	return b.targets[at].Name, true
}

// TakeNamed counts an attempt against a given target.
func (b *Balancer) TakeNamed(name string) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].inFlight++
		b.update(at)
	}
}

// Return ends an attempt.
func (b *Balancer) Return(name string) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].inFlight = max(b.targets[at].inFlight-1, 0)
		b.update(at)
	}
}

// busyShare returns the fraction of the usable targets' slots that is in use.
func (b *Balancer) busyShare() float64 {
	used, slots := 0, 0
	for i := range b.targets {
		if s := &b.targets[i]; s.condition.Weight > 0 {
			used += s.inFlight
			slots += s.Slots
		}
	}
	if slots == 0 {
		return 1
	}
	return float64(used) / float64(slots)
}

// choose returns the least loaded of a few random candidates, or of all
// candidates when no drawn one meets the criteria. It returns -1 when none does.
func (b *Balancer) choose(rng *rand.Rand, criteria Criteria, candidates []int) int {
	if len(candidates) == 0 {
		return -1
	}
	best, sampled := -1, 0
	if len(candidates) > sampledTargets {
		for draw := 0; draw < maxDraws && sampled < sampledTargets; draw++ {
			at := candidates[rng.IntN(len(candidates))]
			if at == best || !b.targets[at].admits(criteria) {
				continue
			}
			sampled++
			best = b.lessLoaded(best, at, criteria)
		}
	}
	if best >= 0 {
		return best
	}
	offset := rng.IntN(len(candidates))
	for i := range candidates {
		at := candidates[(i+offset)%len(candidates)]
		if b.targets[at].admits(criteria) {
			best = b.lessLoaded(best, at, criteria)
		}
	}
	return best
}

// lessLoaded returns the target with the lower load; a negative best means none.
func (b *Balancer) lessLoaded(best, at int, criteria Criteria) int {
	if best < 0 || b.targets[at].load(criteria) < b.targets[best].load(criteria) {
		return at
	}
	return best
}

func (s *targetState) admits(criteria Criteria) bool {
	if s.condition.TrialsOnly && !criteria.Idempotent {
		return false
	}
	return !slices.Contains(criteria.Exclude, s.Name)
}

// load returns the fraction of the target's weighted capacity in use after one
// more request, plus the penalty for another zone.
func (s *targetState) load(criteria Criteria) float64 {
	capacity := float64(max(s.Slots, 1)) * s.condition.Weight
	load := (float64(s.inFlight) + s.othersInFlight + 1) / capacity
	if s.Zone != criteria.Zone {
		load += remoteZonePenalty
	}
	return load
}

// update moves a target to the list of its present tier.
func (b *Balancer) update(at int) {
	s := &b.targets[at]
	next := s.currentTier()
	if next == s.tier {
		return
	}
	if s.tier != tierClosed {
		list := b.byTier[s.tier]
		last := len(list) - 1
		list[s.tierIndex] = list[last]
		b.targets[list[last]].tierIndex = s.tierIndex
		b.byTier[s.tier] = list[:last]
	}
	s.tier = next
	if next != tierClosed {
		s.tierIndex = len(b.byTier[next])
		b.byTier[next] = append(b.byTier[next], at)
	}
}

func (s *targetState) currentTier() tier {
	switch {
	case s.condition.Weight <= 0, s.paused, s.Limit <= 0:
		return tierClosed
	case s.inFlight < s.Limit:
		return tierFree
	case s.inFlight < s.Limit+s.Extra:
		return tierExtra
	}
	return tierClosed
}
