package room

import (
	"math"
	"slices"
	"time"
)

const (
	// mixTimeConstant is the time constant of the averages over arrivals.
	mixTimeConstant = 2 * time.Second
	// minExcessPart is the part of the arriving work, and minExcessRequests the number of recent
	// requests of mean run time, from which excess is told apart; less comes from chance.
	minExcessPart, minExcessRequests = 0.09, 5
	// maxPriority is the largest rank that is told apart; larger ones count as this one.
	maxPriority = 63
)

// mix is the recent arriving work by priority, exponentially weighted.
type mix struct {
	// classes is ordered by priority.
	classes []class
	// useful and run are the sums of the useful times and of the run times in seconds, and count
	// is the number of requests, all with the same weights.
	useful, run, count float64
	updatedAt          time.Duration
}

// class is the arriving work of one priority, in slot-seconds.
type class struct {
	priority       int
	within, excess float64
}

// band is the place of a priority in the arriving work, ordered by urgency; all of it is 1.
type band struct {
	// from is the share of more urgent work, until includes the priority itself, within is the
	// share of its work within the entitlements.
	from, until, within float64
}

// add counts an arrival.
func (m *mix) add(request Request, inExcess bool, now time.Duration) {
	m.decay(now)
	c := m.class(rank(request.Priority))
	work := request.RunTime.Seconds()
	if inExcess {
		c.excess += work
	} else {
		c.within += work
	}
	m.useful += max(min(request.Useful, request.Remaining), 0).Seconds()
	m.run += work
	m.count++
}

// rank returns the priority as a rank within bounds.
func rank(priority int) int { return min(max(priority, 0), maxPriority) }

// decay reduces the weight of earlier arrivals.
func (m *mix) decay(now time.Duration) {
	factor := math.Exp(-(now - m.updatedAt).Seconds() / mixTimeConstant.Seconds())
	m.updatedAt = now
	m.useful *= factor
	m.run *= factor
	m.count *= factor
	for i := range m.classes {
		m.classes[i].within *= factor
		m.classes[i].excess *= factor
	}
}

// class returns the class of a rank and creates it if necessary.
func (m *mix) class(rank int) *class {
	index, found := slices.BinarySearchFunc(m.classes, rank, func(c class, rank int) int { return c.priority - rank })
	if !found {
		m.classes = slices.Insert(m.classes, index, class{priority: rank})
	}
	return &m.classes[index]
}

// band returns the place of a priority.
func (m *mix) band(priority int) band {
	total, before, own := 0.0, 0.0, class{}
	for _, c := range m.classes {
		total += c.within + c.excess
		switch {
		case c.priority < rank(priority):
			before += c.within + c.excess
		case c.priority == rank(priority):
			own = c
		}
	}
	if total <= 0 {
		return band{until: 1, within: 1}
	}
	return band{from: before / total, until: (before + own.within + own.excess) / total, within: own.within / total}
}

// hasExcess reports whether more of the arriving work exceeds the entitlements than comes from
// chance, and at least minWork slot-seconds.
func (m *mix) hasExcess(minWork float64) bool {
	excess, total := 0.0, 0.0
	for _, c := range m.classes {
		excess += c.excess
		total += c.within + c.excess
	}
	return excess > max(minExcessPart*total, minWork)
}

// means returns the mean useful time and the mean run time in seconds.
func (m *mix) means() (useful, run float64, known bool) {
	if m.count <= 0 {
		return 0, 0, false
	}
	return m.useful / m.count, m.run / m.count, true
}
