package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primroseloom/primroseloom/policy/health"
)

// Latencies are kept in microseconds, from 1 µs to 60 s, to 3 digits.
const (
	latencyLowest  = 1
	latencyHighest = 60_000_000
	latencyDigits  = 3
)

// healedGrace is the time after a fault's end in which its evidence may still
// lead to an ejection.
const healedGrace = time.Second

// sampleInterval is the time between two points of the plotted series.
const sampleInterval = 100 * time.Millisecond

// recorder gathers one run's figures after the warm-up.
type recorder struct {
	arrivedCount  uint64
	answeredCount uint64
	attempts      uint64
	sickAttempts  uint64
	trials        uint64
	messageBytes  uint64
	refusals      map[string]uint64
	latency       *hdrhistogram.Histogram
	small         *hdrhistogram.Histogram
	smallRefused  uint64
	// alone holds the small customers' figures of a run without the others.
	alone *recorder

	sickSince []time.Duration
	sickUntil []time.Duration
	lastSend  []time.Duration
	detection []time.Duration
	// ejectionTimes run from a fault until nine in ten VMs have ejected the target.
	ejectionTimes []time.Duration
	allEjected    []time.Duration

	ejectedBy   [][]bool
	ejectors    []int
	avoidedBy   [][]bool
	ejections   int
	falseOnes   int
	avoidances  int
	floorSlots  int
	floorBreaks int
	leastSlots  int
	leastUnion  int

	series  []Point
	windows window
}

// window accumulates one point of the series.
type window struct {
	start    time.Duration
	sick     uint64
	attempts uint64
	answered uint64
	refused  uint64
}

// Point is one sample of a run's series, for the plot.
type Point struct {
	// Seconds counts from the end of the warm-up.
	Seconds  float64 `json:"seconds"`
	Faulty   float64 `json:"attempts_to_sick_per_second"`
	Answered float64 `json:"answered_per_second"`
	Refused  float64 `json:"refused_per_second"`
	Ejected  int     `json:"ejected_targets"`
}

func newRecorder(e *engine) *recorder {
	size := e.scenario.size
	total := size.Targets * size.Slots
	r := &recorder{
		refusals:   make(map[string]uint64),
		latency:    hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
		small:      hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
		sickSince:  make([]time.Duration, size.Targets),
		sickUntil:  make([]time.Duration, size.Targets),
		lastSend:   make([]time.Duration, size.Targets),
		ejectors:   make([]int, size.Targets),
		allEjected: make([]time.Duration, size.Targets),
		floorSlots: FloorSlots(e.scenario),
		leastSlots: total,
		leastUnion: total,
	}
	for range size.VMs {
		r.ejectedBy = append(r.ejectedBy, make([]bool, size.Targets))
		r.avoidedBy = append(r.avoidedBy, make([]bool, size.Targets))
	}
	for i := range r.sickUntil {
		r.sickUntil[i] = -time.Hour
	}
	return r
}

// FloorSlots returns the scenario's floor in slots.
func FloorSlots(s *Scenario) int {
	return int(s.FloorShare * float64(s.size.Targets*s.size.Slots))
}

// counts reports whether the warm-up is over.
func (r *recorder) counts(e *engine) bool { return e.now >= e.warm }

// told counts a message that a VM receives.
func (r *recorder) told(e *engine, bytes int) {
	if r.counts(e) {
		r.messageBytes += uint64(bytes)
	}
}

func (r *recorder) arrived(e *engine, _ *Request) {
	if r.counts(e) {
		r.arrivedCount++
	}
}

func (r *recorder) refused(e *engine, request *Request, reason string) {
	if !r.counts(e) {
		return
	}
	r.refusals[reason]++
	r.windows.refused++
	if e.scenario.Customers[request.Customer].Small && turnsAway(reason) {
		r.smallRefused++
	}
}

// turnsAway reports whether a request ended for want of a slot or by a limit,
// and not by what became of it at a target.
func turnsAway(reason string) bool {
	switch reason {
	case "admission", "deadline", string(health.Shed):
		return true
	}
	return false
}

func (r *recorder) answered(e *engine, request *Request) {
	if !r.counts(e) {
		return
	}
	r.answeredCount++
	r.windows.answered++
	took := (e.now - request.Arrived).Microseconds()
	_ = r.latency.RecordValue(took)
	if e.scenario.Customers[request.Customer].Small {
		_ = r.small.RecordValue(took)
	}
}

func (r *recorder) sent(e *engine, f *flight) {
	if !r.counts(e) {
		return
	}
	r.attempts++
	r.windows.attempts++
	if f.Trial {
		r.trials++
		return
	}
	if e.targets[f.Target].sick() {
		r.sickAttempts++
		r.windows.sick++
		r.lastSend[f.Target] = e.now
	}
}

// fault notes since when targets are sick, and the detection times at the end.
func (r *recorder) fault(e *engine, fault *activeFault) {
	if !fault.sickens() || fault.Fraction >= 1 || fault.Period > 0 && e.now < fault.end && e.now > fault.start {
		return
	}
	for i, member := range fault.members {
		switch {
		case !member:
		case fault.on:
			r.sickSince[i] = e.now
			r.lastSend[i] = e.now
			r.sickUntil[i] = fault.end
		case fault.Period == 0:
			r.detected(i)
		}
	}
}

// detected notes a fault's detection times.
func (r *recorder) detected(target int) {
	r.detection = append(r.detection, r.lastSend[target]-r.sickSince[target])
	if r.allEjected[target] > r.sickSince[target] {
		r.ejectionTimes = append(r.ejectionTimes, r.allEjected[target]-r.sickSince[target])
	}
}

// observe compares a VM's states with the truth.
func (r *recorder) observe(e *engine, v *vm) {
	if !r.counts(e) {
		return
	}
	for i := range e.targets {
		state := v.health.State(i)
		r.observeEjection(e, v, i, state == health.Ejected)
		avoided := state == health.Avoided
		if avoided && !r.avoidedBy[v.index][i] {
			r.avoidances++
		}
		r.avoidedBy[v.index][i] = avoided
	}
	r.observeFloor(e, v)
	r.sample(e)
}

// observeEjection counts a target's way from no ejecting VM to one.
func (r *recorder) observeEjection(e *engine, v *vm, target int, ejected bool) {
	before := r.ejectedBy[v.index][target]
	if ejected == before {
		return
	}
	r.ejectedBy[v.index][target] = ejected
	if !ejected {
		r.ejectors[target]--
		return
	}
	r.ejectors[target]++
	if r.ejectors[target] >= len(e.vms)*9/10 && r.allEjected[target] == 0 && e.targets[target].sick() {
		r.allEjected[target] = e.now
	}
	if r.ejectors[target] > 1 {
		return
	}
	r.ejections++
	if e.overloaded || !e.targets[target].sick() && e.now > r.sickUntil[target]+healedGrace {
		r.falseOnes++
	}
}

// observeFloor checks that ejections leave the floor.
func (r *recorder) observeFloor(e *engine, v *vm) {
	slots, union, out := 0, 0, false
	for i, target := range e.targets {
		if r.ejectors[i] == 0 && !target.leaving {
			union += target.slots
		}
		switch v.health.State(i) {
		case health.Ejected, health.Avoided:
			out = true
		case health.Ramping:
		default:
			if !target.leaving {
				slots += target.slots
			}
		}
	}
	if !out {
		return
	}
	r.leastSlots = min(r.leastSlots, slots)
	r.leastUnion = min(r.leastUnion, union)
	if slots < r.floorSlots {
		r.floorBreaks++
	}
}

// sample closes a point of the series when its time has passed.
func (r *recorder) sample(e *engine) {
	if r.windows.start == 0 {
		r.windows.start = e.warm
	}
	span := e.now - r.windows.start
	if span < sampleInterval {
		return
	}
	point := Point{Seconds: (e.now - e.warm).Seconds()}
	point.Faulty = float64(r.windows.sick) / span.Seconds()
	point.Answered = float64(r.windows.answered) / span.Seconds()
	point.Refused = float64(r.windows.refused) / span.Seconds()
	for _, count := range r.ejectors {
		if count > 0 {
			point.Ejected++
		}
	}
	r.windows = window{start: e.now}
	if len(r.series) < maxPoints {
		r.series = append(r.series, point)
	}
}

// maxPoints bounds the series of a long run.
const maxPoints = 20_000

// finish notes the detection of faults that last to the end of the run.
func (r *recorder) finish(e *engine) {
	for _, fault := range e.faults {
		if !fault.on || fault.end < e.end || !fault.sickens() || fault.Fraction >= 1 || fault.Period > 0 {
			continue
		}
		for i, member := range fault.members {
			if member {
				r.detected(i)
			}
		}
	}
}
