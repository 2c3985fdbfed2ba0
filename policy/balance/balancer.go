package balance

import (
	"math/rand/v2"
	"slices"
)

const (
	// remotePenalty is added to the load of a target in another zone, in parts
	// of a target's capacity. It bounds the extra load of the near zone.
	remotePenalty = 0.1
	// choices is the number of targets compared for each attempt.
	choices = 2
	// draws bounds the targets drawn at random before all are looked at.
	draws = 8
)

// Target is what a Balancer needs to know of one target.
type Target struct {
	Name string
	Zone string
	// Limit is the number of requests that this VM may have in progress there.
	Limit int
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Extra is the number of requests beyond Limit that may wait at the target
	// when no other target is below its limit.
	Extra int
}

// Condition is the state of a target's health.
type Condition struct {
	// Weight is between 0, no requests, and 1, a full share.
	Weight float64
	// TrialsOnly admits only requests that may run twice.
	TrialsOnly bool
}

// Criteria describes an attempt that needs a target.
type Criteria struct {
	// Zone is the zone to prefer.
	Zone string
	// Exclude names targets not to use.
	Exclude []string
	// Idempotent is true when the request may run twice.
	Idempotent bool
	// AllowExtra allows targets at their limit when none is below it.
	AllowExtra bool
}

// tier tells how much room a target has.
type tier int8

// The tiers; a target in the first or second is in the list of that tier.
const (
	tierFree tier = iota
	tierExtra
	tierClosed
)

// Balancer chooses targets for one VM. It keeps the targets with room in
// lists of their own, so the cost of a choice does not grow with their number.
type Balancer struct {
	targets []slot
	byName  map[string]int
	// open holds the indexes of the targets below their limit, and of those
	// that may take extra requests.
	open [tierClosed][]int
}

type slot struct {
	Target
	condition Condition
	inFlight  int
	// others is the number of requests in progress from other VMs, as reported.
	others float64
	// held keeps a target that shed out of the choice.
	held bool
	// tier names the list of open targets that the target is in, place its
	// index there.
	tier  tier
	place int
}

// NewBalancer returns a balancer without targets.
func NewBalancer() *Balancer {
	return &Balancer{byName: make(map[string]int)}
}

// Configure replaces the targets. Those that stay keep their state; a new one
// begins healthy and idle.
func (b *Balancer) Configure(targets []Target) {
	old := *b
	b.targets = make([]slot, 0, len(targets))
	b.byName = make(map[string]int, len(targets))
	b.open = [tierClosed][]int{}
	for i, target := range targets {
		next := slot{Target: target, condition: Condition{Weight: 1}}
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

// SetCondition changes a target's weight.
func (b *Balancer) SetCondition(name string, condition Condition) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].condition = condition
		b.update(at)
	}
}

// SetOthersInFlight sets the number of requests that other VMs have in progress.
func (b *Balancer) SetOthersInFlight(name string, inFlight float64) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].others = max(inFlight, 0)
	}
}

// SetPaused takes a target out of the choice, or puts it back, without regard to
// its health; it follows a shed request.
func (b *Balancer) SetPaused(name string, held bool) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].held = held
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

// Accepts reports whether a target may take one more request now, extra ones
// included.
func (b *Balancer) Accepts(name string) bool {
	at, ok := b.byName[name]
	return ok && b.targets[at].tier != tierClosed
}

// HasRoom reports whether any target has room for any attempt.
func (b *Balancer) HasRoom() bool { return len(b.open[tierFree]) > 0 }

// HasExtraRoom reports whether any target may take an extra request.
func (b *Balancer) HasExtraRoom() bool { return len(b.open[tierExtra]) > 0 }

// SetExtra changes the number of extra requests that a target may take.
func (b *Balancer) SetExtra(name string, extra int) {
	if at, ok := b.byName[name]; ok {
		b.targets[at].Extra = extra
		b.update(at)
	}
}

// CountUsable returns the number of targets that an attempt could ever use, busy
// ones included.
func (b *Balancer) CountUsable(want Criteria) int {
	count := 0
	for i := range b.targets {
		if b.targets[i].condition.Weight > 0 && b.targets[i].Limit > 0 && b.targets[i].admits(want) {
			count++
		}
	}
	return count
}

// Take chooses a target with room and counts the attempt against it.
func (b *Balancer) Take(rng *rand.Rand, want Criteria) (string, bool) {
	at := b.choose(rng, want, b.open[tierFree])
	if at < 0 && want.AllowExtra {
		at = b.choose(rng, want, b.open[tierExtra])
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

// busy returns the part of the usable targets' slots that is in use.
func (b *Balancer) busy() float64 {
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

// choose compares a few of the open targets drawn at random. When none of them
// will do, it looks at all.
func (b *Balancer) choose(rng *rand.Rand, want Criteria, open []int) int {
	if len(open) == 0 {
		return -1
	}
	best, seen := -1, 0
	if len(open) > choices {
		for draw := 0; draw < draws && seen < choices; draw++ {
			at := open[rng.IntN(len(open))]
			if at == best || !b.targets[at].admits(want) {
				continue
			}
			seen++
			best = b.better(best, at, want)
		}
	}
	if best >= 0 {
		return best
	}
	offset := rng.IntN(len(open))
	for i := range open {
		at := open[(i+offset)%len(open)]
		if b.targets[at].admits(want) {
			best = b.better(best, at, want)
		}
	}
	return best
}

func (b *Balancer) better(best, at int, want Criteria) int {
	if best < 0 || b.targets[at].load(want) < b.targets[best].load(want) {
		return at
	}
	return best
}

func (s *slot) admits(want Criteria) bool {
	if s.condition.TrialsOnly && !want.Idempotent {
		return false
	}
	return !slices.Contains(want.Exclude, s.Name)
}

// load is the part of the target's weighted capacity in use after one more
// request.
func (s *slot) load(want Criteria) float64 {
	capacity := float64(max(s.Slots, 1)) * s.condition.Weight
	load := (float64(s.inFlight) + s.others + 1) / capacity
	if s.Zone != want.Zone {
		load += remotePenalty
	}
	return load
}

// update moves a target to the list of its tier.
func (b *Balancer) update(at int) {
	s := &b.targets[at]
	next := s.room()
	if next == s.tier {
		return
	}
	if s.tier != tierClosed {
		list := b.open[s.tier]
		last := len(list) - 1
		list[s.place] = list[last]
		b.targets[list[last]].place = s.place
		b.open[s.tier] = list[:last]
	}
	s.tier = next
	if next != tierClosed {
		s.place = len(b.open[next])
		b.open[next] = append(b.open[next], at)
	}
}

func (s *slot) room() tier {
	switch {
	case s.condition.Weight <= 0, s.held, s.Limit <= 0:
		return tierClosed
	case s.inFlight < s.Limit:
		return tierFree
	case s.inFlight < s.Limit+s.Extra:
		return tierExtra
	}
	return tierClosed
}
