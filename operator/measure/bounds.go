package measure

import (
	"fmt"

	"github.com/primroseloom/primroseloom/config/document"
)

// checkBounds compares a result of the first policy with the scenario's bounds
// and with the baselines of the same scenario, service and load, which follow it
// in results. It skips the results of the baselines.
func checkBounds(c *cell, results []Result, index int) {
	result := &results[index]
	if index > 0 && sameConditions(&results[index-1], result) {
		return
	}
	result.TimesAhead = timesAhead(results, index)
	bounds := &c.scenario.Bounds
	patience := 1.0
	if c.scenario.size.Patient {
		patience = bounds.Patience
	}
	result.checkDetection(bounds, patience)
	if result.FloorBreaks > 0 {
		result.addMissed("floor broken %d times", result.FloorBreaks)
	}
	if bounds.FalseEjections != nil && result.FalseEjections > *bounds.FalseEjections {
		result.addMissed("%d false ejections, bound %d", result.FalseEjections, *bounds.FalseEjections)
	}
	if bounds.AttemptsPerRequest > 0 && result.AttemptsPerRequest > bounds.AttemptsPerRequest {
		result.addMissed("%.3f attempts per request, bound %.3f", result.AttemptsPerRequest, bounds.AttemptsPerRequest)
	}
	if bounds.IdealP99Ratio > 0 && ratio(result.LatencyP99, result.IdealP99) > bounds.IdealP99Ratio {
		result.addMissed("p99 %.2f times the ideal, bound %.2f", ratio(result.LatencyP99, result.IdealP99), bounds.IdealP99Ratio)
	}
	result.checkSmall(bounds)
}

// checkDetection checks the detection times against the bounds.
func (r *Result) checkDetection(bounds *Bounds, patience float64) {
	r.checkMax("detection p50", r.DetectionP50, bounds.DetectionP50, patience)
	r.checkMax("detection p99", r.DetectionP99, bounds.DetectionP99, patience)
	if bounds.Ahead > 0 && r.TimesAhead > 0 && r.TimesAhead < bounds.Ahead {
		r.addMissed("%.1f times ahead of the better baseline, bound %.1f", r.TimesAhead, bounds.Ahead)
	}
}

// checkMax records a missed bound when value exceeds bound times patience.
func (r *Result) checkMax(what string, value document.Duration, bound *document.Duration, patience float64) {
	if bound == nil {
		return
	}
	limit := document.Duration(float64(*bound) * patience)
	if value > limit {
		r.addMissed("%s %s, bound %s", what, formatDuration(value), formatDuration(limit))
	}
}

func (r *Result) addMissed(format string, arguments ...any) {
	r.Missed = append(r.Missed, fmt.Sprintf(format, arguments...))
}

// timesAhead returns the better baseline's detection p50 divided by the
// result's, or 0 without baselines.
func timesAhead(results []Result, index int) float64 {
	best := document.Duration(0)
	for i := index + 1; i < len(results) && sameConditions(&results[index], &results[i]); i++ {
		if best == 0 || results[i].DetectionP50 < best {
			best = results[i].DetectionP50
		}
	}
	return ratio(best, results[index].DetectionP50)
}

// sameConditions reports whether two results are of the same scenario, service and load.
func sameConditions(a, b *Result) bool {
	return a.Scenario == b.Scenario && a.Service == b.Service && a.Load == b.Load
}

// ratio returns a/b, or 0 when b is zero.
func ratio(a, b document.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
