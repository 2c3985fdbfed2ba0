package room

import (
	"math"
	"time"
)

const (
	// recentTimeConstant is the time constant of the recent use.
	recentTimeConstant = 1200 * time.Millisecond
	// growthInterval is the time between two measurements of the growth.
	growthInterval = 500 * time.Millisecond
	// growthSteps is the number of steps in which growth is measured, stepsPerDoubling of them
	// for each factor of 2 from 1 on.
	growthSteps, stepsPerDoubling = 24, 4
	// growthOfPart is the part of the usual use whose customers grow less than the growth of
	// most: a surge of customers with less than half of it is no growth of the service.
	growthOfPart = 0.5
)

// growth is how much more than usual most customers use now. Where all send more, none of them
// exceeds its entitlement for it.
type growth struct {
	ratio      float64
	measuredAt time.Duration
}

// factor returns the growth, at least 1.
func (g *growth) factor() float64 { return max(g.ratio, 1) }

// addRecent counts work of the customer.
func (a *account) addRecent(work float64, now time.Duration) {
	decay := recentDecay(now - a.recentAt)
	a.recent = a.recent*decay + work
	a.recentExcess *= decay
	a.recentAt = now
}

// recentRate returns the recent use in slot-seconds a second.
func (a *account) recentRate(now time.Duration) float64 {
	return a.recent * recentDecay(now-a.recentAt) / recentTimeConstant.Seconds()
}

// recentDecay returns the weight that is left of recent work of this age.
func recentDecay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / recentTimeConstant.Seconds())
}

// updateGrowth measures the growth if it is due: the median over the customers, weighted by
// their usual use. It takes time in proportion to the number of accounts.
func (c *customers) updateGrowth(now time.Duration) {
	if now-c.growth.measuredAt < growthInterval {
		return
	}
	c.growth.measuredAt = now
	var weights [growthSteps]float64
	total := 0.0
	for _, a := range c.accounts {
		usual := a.usual.rate(c.learned)
		if usual <= 0 {
			continue
		}
		step := math.Log2(a.recentRate(now)/usual) * stepsPerDoubling
		weights[int(min(max(step, 0), growthSteps-1))] += usual
		total += usual
	}
	below := 0.0
	for step, weight := range weights {
		below += weight
		if below >= growthOfPart*total {
			c.growth.ratio = math.Exp2(float64(step) / stepsPerDoubling)
			return
		}
	}
}
