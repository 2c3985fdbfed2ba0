package measure

import (
	"fmt"

	"github.com/primroseloom/primroseloom/config/document"
)

// judge compares a result of the first policy with the scenario's bounds and
// with the baselines of the same scenario, service and load, which follow it.
func judge(c *cell, results []Result, index int) {
	result := &results[index]
	if index > 0 && sameCell(&results[index-1], result) {
		return
	}
	result.TimesAhead = ahead(results, index)
	bounds := &c.scenario.Bounds
	patience := 1.0
	if c.scenario.size.Patient {
		patience = bounds.Patience
	}
	result.judgeDetection(bounds, patience)
	if result.FloorBreaks > 0 {
		result.miss("floor broken %d times", result.FloorBreaks)
	}
	if bounds.FalseEjections != nil && result.FalseEjections > *bounds.FalseEjections {
		result.miss("%d false ejections, bound %d", result.FalseEjections, *bounds.FalseEjections)
	}
	if bounds.AttemptsPerRequest > 0 && result.AttemptsPerRequest > bounds.AttemptsPerRequest {
		result.miss("%.3f attempts a request, bound %.3f", result.AttemptsPerRequest, bounds.AttemptsPerRequest)
	}
	if bounds.IdealP99Ratio > 0 && ratio(result.LatencyP99, result.IdealP99) > bounds.IdealP99Ratio {
		result.miss("p99 %.2f times the ideal, bound %.2f", ratio(result.LatencyP99, result.IdealP99), bounds.IdealP99Ratio)
	}
	result.judgeSmall(bounds)
}

// judgeDetection checks the detection times.
func (r *Result) judgeDetection(bounds *Bounds, patience float64) {
	r.atMost("detection p50", r.DetectionP50, bounds.DetectionP50, patience)
	r.atMost("detection p99", r.DetectionP99, bounds.DetectionP99, patience)
	if bounds.Ahead > 0 && r.TimesAhead > 0 && r.TimesAhead < bounds.Ahead {
		r.miss("%.1f times ahead of the better baseline, bound %.1f", r.TimesAhead, bounds.Ahead)
	}
}

func (r *Result) atMost(what string, value document.Duration, bound *document.Duration, patience float64) {
	if bound == nil {
		return
	}
	limit := document.Duration(float64(*bound) * patience)
	if value > limit {
		r.miss("%s %s, bound %s", what, short(value), short(limit))
	}
}

func (r *Result) miss(format string, arguments ...any) {
	r.Missed = append(r.Missed, fmt.Sprintf(format, arguments...))
}

// ahead returns how many times sooner the result detects than the better baseline.
func ahead(results []Result, index int) float64 {
	best := document.Duration(0)
	for i := index + 1; i < len(results) && sameCell(&results[index], &results[i]); i++ {
		if best == 0 || results[i].DetectionP50 < best {
			best = results[i].DetectionP50
		}
	}
	return ratio(best, results[index].DetectionP50)
}

func sameCell(a, b *Result) bool {
	return a.Scenario == b.Scenario && a.Service == b.Service && a.Load == b.Load
}

// ratio returns a/b, or 0 when b is zero.
func ratio(a, b document.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
