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

// recoveryGrace is the time after a fault's end in which an ejection is not
// counted as false, since evidence of the fault may still lead to one.
const recoveryGrace = time.Second

// sampleInterval is the time between two points of the plotted series.
const sampleInterval = 100 * time.Millisecond

// recorder collects the figures of one run after the warm-up.
type recorder struct {
	arrivedCount     uint64
	answeredCount    uint64
	attempts         uint64
	attemptsToFaulty uint64
	trials           uint64
	messageBytes     uint64
	refusals         map[string]uint64
	latency          *hdrhistogram.Histogram
	small            *hdrhistogram.Histogram
	smallRefused     uint64
	// alone holds the figures of a run with only the small customers.
	alone *recorder

	// faultySince and faultyUntil are the start and the end of each target's
	// latest fault; lastSent is the time of the last ordinary attempt sent to it
	// while it was faulty.
	faultySince    []time.Duration
	faultyUntil    []time.Duration
	lastSent       []time.Duration
	detectionTimes []time.Duration
	// ejectionTimes are the times from a fault's start until nine in ten VMs have
	// ejected the target.
	ejectionTimes []time.Duration
	// ejectedAt is the first time at which nine in ten VMs have ejected the
	// faulty target.
	ejectedAt []time.Duration

	// ejectedBy and avoidedBy are indexed by VM and target; ejectingVMs counts
	// the VMs that eject each target.
	ejectedBy          [][]bool
	ejectingVMs        []int
	avoidedBy          [][]bool
	ejections          int
	falseEjections     int
	avoidances         int
	floorSlots         int
	floorBreaks        int
	minSlots           int
	minSlotsNotEjected int

	series []Point
	// currentPoint counts the events since the latest point of the series.
	currentPoint pointCounts
}

// pointCounts counts the events of one point of the series.
type pointCounts struct {
	start    time.Duration
	faulty   uint64
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
		refusals:           make(map[string]uint64),
		latency:            hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
		small:              hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits),
		faultySince:        make([]time.Duration, size.Targets),
		faultyUntil:        make([]time.Duration, size.Targets),
		lastSent:           make([]time.Duration, size.Targets),
		ejectingVMs:        make([]int, size.Targets),
		ejectedAt:          make([]time.Duration, size.Targets),
		floorSlots:         FloorSlots(e.scenario),
		minSlots:           total,
		minSlotsNotEjected: total,
	}
	for range size.VMs {
		r.ejectedBy = append(r.ejectedBy, make([]bool, size.Targets))
		r.avoidedBy = append(r.avoidedBy, make([]bool, size.Targets))
	}
	for i := range r.faultyUntil {
		r.faultyUntil[i] = -time.Hour
	}
	return r
}

// FloorSlots returns the scenario's floor in slots.
func FloorSlots(s *Scenario) int {
	return int(s.FloorShare * float64(s.size.Targets*s.size.Slots))
}

// pastWarmup reports whether the warm-up is over, so that events count.
func (r *recorder) pastWarmup(e *engine) bool { return e.now >= e.warmupEnd }

// countMessage counts the bytes of a message sent to a VM.
func (r *recorder) countMessage(e *engine, bytes int) {
	if r.pastWarmup(e) {
		r.messageBytes += uint64(bytes)
	}
}

func (r *recorder) countArrival(e *engine, _ *Request) {
	if r.pastWarmup(e) {
		r.arrivedCount++
	}
}

func (r *recorder) recordRefusal(e *engine, request *Request, reason string) {
	if !r.pastWarmup(e) {
		return
	}
	r.refusals[reason]++
	r.currentPoint.refused++
	if e.scenario.Customers[request.Customer].Small && isAdmissionRefusal(reason) {
		r.smallRefused++
	}
}

// isAdmissionRefusal reports whether a request was refused for lack of a slot
// or by a limit, rather than because it failed at a target.
func isAdmissionRefusal(reason string) bool {
	switch reason {
	case "admission", "deadline", string(health.Shed):
		return true
	}
	return false
}

func (r *recorder) recordAnswer(e *engine, request *Request) {
	if !r.pastWarmup(e) {
		return
	}
	r.answeredCount++
	r.currentPoint.answered++
	latency := (e.now - request.Arrived).Microseconds()
	_ = r.latency.RecordValue(latency)
	if e.scenario.Customers[request.Customer].Small {
		_ = r.small.RecordValue(latency)
	}
}

func (r *recorder) recordAttempt(e *engine, run *attemptRun) {
	if !r.pastWarmup(e) {
		return
	}
	r.attempts++
	r.currentPoint.attempts++
	if run.Trial {
		r.trials++
		return
	}
	if e.targets[run.Target].faulty() {
		r.attemptsToFaulty++
		r.currentPoint.faulty++
		r.lastSent[run.Target] = e.now
	}
}

// recordFault records the start of a fault on its targets, and the detection
// times at its end. Of a periodic fault only the first start is recorded, and of
// a fault of all targets nothing.
func (r *recorder) recordFault(e *engine, fault *activeFault) {
	if !fault.makesTargetFaulty() || fault.Fraction >= 1 || fault.Period > 0 && e.now < fault.end && e.now > fault.start {
		return
	}
	for i, member := range fault.members {
		switch {
		case !member:
		case fault.on:
			r.faultySince[i] = e.now
			r.lastSent[i] = e.now
			r.faultyUntil[i] = fault.end
		case fault.Period == 0:
			r.recordDetection(i)
		}
	}
}

// recordDetection records a target's detection time, from the start of the fault
// to the last ordinary attempt sent to the target, and its ejection time if nine
// in ten VMs have ejected it.
func (r *recorder) recordDetection(target int) {
	r.detectionTimes = append(r.detectionTimes, r.lastSent[target]-r.faultySince[target])
	if r.ejectedAt[target] > r.faultySince[target] {
		r.ejectionTimes = append(r.ejectionTimes, r.ejectedAt[target]-r.faultySince[target])
	}
}

// observe compares the health states that a VM assigns to the targets with the
// targets' actual state.
func (r *recorder) observe(e *engine, v *vm) {
	if !r.pastWarmup(e) {
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

// observeEjection updates the number of VMs that eject a target. An ejection is
// counted when the first VM ejects the target.
func (r *recorder) observeEjection(e *engine, v *vm, target int, ejected bool) {
	before := r.ejectedBy[v.index][target]
	if ejected == before {
		return
	}
	r.ejectedBy[v.index][target] = ejected
	if !ejected {
		r.ejectingVMs[target]--
		return
	}
	r.ejectingVMs[target]++
	if r.ejectingVMs[target] >= len(e.vms)*9/10 && r.ejectedAt[target] == 0 && e.targets[target].faulty() {
		r.ejectedAt[target] = e.now
	}
	if r.ejectingVMs[target] > 1 {
		return
	}
	r.ejections++
	if e.overloaded || !e.targets[target].faulty() && e.now > r.faultyUntil[target]+recoveryGrace {
		r.falseEjections++
	}
}

// observeFloor checks that ejections leave at least floorSlots slots in service.
func (r *recorder) observeFloor(e *engine, v *vm) {
	slots, notEjected, anyNotServing := 0, 0, false
	for i, target := range e.targets {
		if r.ejectingVMs[i] == 0 && !target.draining {
			notEjected += target.slots
		}
		switch v.health.State(i) {
		case health.Ejected, health.Avoided:
			anyNotServing = true
		case health.Ramping:
		default:
			if !target.draining {
				slots += target.slots
			}
		}
	}
	if !anyNotServing {
		return
	}
	r.minSlots = min(r.minSlots, slots)
	r.minSlotsNotEjected = min(r.minSlotsNotEjected, notEjected)
	if slots < r.floorSlots {
		r.floorBreaks++
	}
}

// sample appends a point to the series once sampleInterval has passed.
func (r *recorder) sample(e *engine) {
	if r.currentPoint.start == 0 {
		r.currentPoint.start = e.warmupEnd
	}
	span := e.now - r.currentPoint.start
	if span < sampleInterval {
		return
	}
	point := Point{Seconds: (e.now - e.warmupEnd).Seconds()}
	point.Faulty = float64(r.currentPoint.faulty) / span.Seconds()
	point.Answered = float64(r.currentPoint.answered) / span.Seconds()
	point.Refused = float64(r.currentPoint.refused) / span.Seconds()
	for _, count := range r.ejectingVMs {
		if count > 0 {
			point.Ejected++
		}
	}
	r.currentPoint = pointCounts{start: e.now}
	if len(r.series) < maxPoints {
		r.series = append(r.series, point)
	}
}

// maxPoints limits the length of the series of a long run.
const maxPoints = 20_000

// finish records the detection times of faults that last to the end of the run.
func (r *recorder) finish(e *engine) {
	for _, fault := range e.faults {
		if !fault.on || fault.end < e.end || !fault.makesTargetFaulty() || fault.Fraction >= 1 || fault.Period > 0 {
			continue
		}
		for i, member := range fault.members {
			if member {
				r.recordDetection(i)
			}
		}
	}
}
