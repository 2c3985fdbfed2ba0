package room_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/room"
)

// source is one stream of requests, in time order of its arrivals.
type source struct {
	customer string
	priority int
	// rate returns the requests a second at a time.
	rate func(at time.Duration) float64
	// random draws its arrivals, so that they are the same whatever is decided.
	random *rand.Rand
}

// model is a fleet before the targets of one service, in virtual time. Attempts wait in the
// queues of the targets, first in first out; a VM learns of the attempts of the others by
// datagrams that are minDelay to maxDelay late.
type model struct {
	vms, targets, slots int
	// queue is the number of requests that may wait at a target.
	queue              int
	meanRun            time.Duration
	objective, timeout time.Duration
	minDelay, maxDelay time.Duration
	sources            []source
	length, warmUp     time.Duration
	// usesRoom lets policy/room decide before the placement of a request.
	usesRoom bool
	// remembersFull excludes targets that have just refused for lack of room.
	remembersFull bool
	// leaving is the share of the requests whose callers leave after patience. Their VMs count
	// them no longer; the targets run them nevertheless.
	leaving  float64
	patience time.Duration
	seed     uint64
}

// result counts the requests of one source after the warm-up.
type result struct {
	customer string
	priority int
	arrived, refused, served,
	// inObjective and inTime count the responses within the objective and the time limit.
	inObjective, inTime int
	// work is the run time of the responses within the objective.
	work time.Duration
	// latencies are those of all responses.
	latencies []time.Duration
}

// servedShare returns the share of the requests that was answered within the time limit.
func (r *result) servedShare() float64 { return float64(r.inTime) / float64(max(r.arrived, 1)) }

// p99 returns the 99th percentile of the durations.
func p99(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[len(durations)*99/100]
}

// job is one request on its way.
type job struct {
	from      *result
	run       time.Duration
	arrivedAt time.Duration
	vm        int
	attempted []int
	priority  int
	// left is true once its caller has left.
	left bool
}

// run is one execution of a model.
type run struct {
	model
	random     *rand.Rand
	events     events
	order      int
	views      [][]view
	running    []int
	waiting    [][]*job
	services   []*room.Service
	results    []*result
	attempts   int
	turnedAway int
	// causes counts the refusals by cause.
	causes map[string]int
}

// play runs the model and returns the result of each source.
func (m model) play() *run {
	r := &run{model: m, causes: make(map[string]int), random: rand.New(rand.NewPCG(m.seed, 7)), running: make([]int, m.targets), waiting: make([][]*job, m.targets)}
	for range m.vms {
		r.views = append(r.views, make([]view, m.targets))
		r.services = append(r.services, &room.Service{})
	}
	for i, s := range m.sources {
		s.random = rand.New(rand.NewPCG(m.seed, uint64(100+i)))
		result := &result{customer: s.customer, priority: s.priority}
		r.results = append(r.results, result)
		r.scheduleArrival(s, result, 0)
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		e.do(e.at)
	}
	return r
}

func (r *run) schedule(at time.Duration, do func(at time.Duration)) {
	r.order++
	heap.Push(&r.events, event{at: at, order: r.order, do: do})
}

// scheduleArrival schedules the next arrival of a source, a Poisson process whose rate may
// change.
func (r *run) scheduleArrival(s source, result *result, after time.Duration) {
	rate := s.rate(after)
	at := after + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
	if at >= r.length {
		return
	}
	r.schedule(at, func(at time.Duration) {
		r.arrive(s, result, at)
		r.scheduleArrival(s, result, at)
	})
}

// gamma4 returns a random duration of the given mean; its coefficient of variation is 0.5.
func (s source) gamma4(mean time.Duration) time.Duration {
	sum := 0.0
	for range 4 {
		sum += s.random.ExpFloat64()
	}
	return time.Duration(sum / 4 * float64(mean))
}

func (r *run) arrive(s source, result *result, at time.Duration) {
	j := &job{from: result, run: s.gamma4(r.meanRun), arrivedAt: at, vm: s.random.IntN(r.vms), priority: result.priority}
	if r.counts(j) {
		result.arrived++
	}
	r.attempt(j, at)
}

// counts reports whether a request belongs to the result.
func (r *run) counts(j *job) bool { return j.arrivedAt >= r.warmUp }

func (r *run) refuse(j *job) {
	if r.counts(j) {
		j.from.refused++
	}
}

// attempt chooses a target for a request.
func (r *run) attempt(j *job, at time.Duration) {
	candidates, indices := r.candidates(j, at)
	remaining, useful := r.timeout-(at-j.arrivedAt), r.objective-(at-j.arrivedAt)
	request := placement.AttemptRequest{
		Retry: len(j.attempted) > 0, MayRetry: len(j.attempted) < 2, ServiceTime: r.meanRun, QueueServiceTime: r.meanRun,
		Remaining: remaining, UsefulTime: useful, Priority: j.priority,
	}
	if r.usesRoom {
		request.QueuePerSlot = room.QueuePerSlot
		load := room.Load{MeanRunTime: r.meanRun}
		for _, c := range candidates {
			load.Slots += float64(c.Slots)
			load.InProgress += float64(c.InUse)
		}
		decision := r.services[j.vm].Decide(load, room.Request{
			Priority: j.priority, Customer: j.from.customer, RunTime: r.meanRun, Remaining: remaining, Useful: useful, IsRetry: len(j.attempted) > 0,
		}, at)
		if !decision.Admitted() {
			r.refuse(j)
			r.causes[string(decision.Cause)]++
			return
		}
	}
	choice := placement.Choose(candidates, request, r.random)
	if choice.Reason != placement.ReasonNone {
		r.causes[string(choice.Reason)]++
		r.refuse(j)
		return
	}
	r.send(j, indices[choice.Index], at)
}

func (r *run) send(j *job, target int, at time.Duration) {
	if r.counts(j) {
		r.attempts++
	}
	j.attempted = append(j.attempted, target)
	switch {
	case r.running[target] < r.slots:
		r.tell(j.vm, target, 1, at)
		r.leave(j, target, at)
		r.start(j, target, at)
	case len(r.waiting[target]) < r.queue:
		r.tell(j.vm, target, 1, at)
		r.leave(j, target, at)
		r.waiting[target] = append(r.waiting[target], j)
	default:
		if r.counts(j) {
			r.turnedAway++
		}
		r.tellFull(j.vm, target, at)
		if len(j.attempted) < 3 {
			r.attempt(j, at)
			return
		}
		r.refuse(j)
	}
}

func (r *run) start(j *job, target int, at time.Duration) {
	r.running[target]++
	r.schedule(at+j.run, func(at time.Duration) { r.end(j, target, at) })
}

func (r *run) end(j *job, target int, at time.Duration) {
	r.running[target]--
	if !j.left {
		r.tell(j.vm, target, -1, at)
		r.record(j, at-j.arrivedAt)
		j.from = nil
	}
	if len(r.waiting[target]) > 0 {
		next := r.waiting[target][0]
		r.waiting[target] = r.waiting[target][1:]
		r.start(next, target, at)
	}
}

func (r *run) record(j *job, took time.Duration) {
	if !r.counts(j) {
		return
	}
	j.from.served++
	j.from.latencies = append(j.from.latencies, took)
	if took <= r.timeout {
		j.from.inTime++
	}
	if took <= r.objective {
		j.from.inObjective++
		j.from.work += j.run
	}
}

// capacity returns the requests a second that the targets can run.
func (m model) capacity() float64 { return float64(m.targets*m.slots) / m.meanRun.Seconds() }

// goodput returns the work of the responses within the objective as a share of the capacity.
func (r *run) goodput() float64 {
	work := time.Duration(0)
	for _, result := range r.results {
		work += result.work
	}
	return work.Seconds() / ((r.length - r.warmUp).Seconds() * float64(r.targets*r.slots))
}
