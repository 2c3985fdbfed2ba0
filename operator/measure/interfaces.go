package measure

import (
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/policy/health"
)

// Request is one request of a customer at a VM.
type Request struct {
	ID       uint64
	Customer int
	// Arrived is the virtual time at which the VM received the request.
	Arrived time.Duration
	// Deadline is the virtual time by which the request must have ended.
	Deadline time.Duration
	// Idempotent requests may run twice, so they may be retried even if an
	// earlier attempt may have run, and may serve as trials.
	Idempotent bool
	// Attempts counts the attempts sent so far.
	Attempts int
	// Exclude holds the targets that earlier attempts used.
	Exclude []int
}

// Attempt is one attempt of a request on a target.
type Attempt struct {
	ID         uint64
	Target     int
	Idempotent bool
	// Trial marks an attempt that tests whether a target has recovered.
	Trial bool
	// Load is the VM's estimate of requests in progress for each slot of the target.
	// The engine does not set it; it is always 0.
	Load float64
}

// LoadReport is the response of a target's load endpoint; it lags behind the actual load.
type LoadReport struct {
	InFlight int
	Slots    int
	Queued   int
}

// Chooser picks the target of an attempt on one VM.
type Chooser interface {
	// Choose returns a target, or false when the request must wait. A target
	// of weight 0 gets no requests other than trials; weights are indexed by
	// target.
	Choose(now time.Duration, request *Request, weights []float64) (target int, ok bool)
	// Started is called when an attempt is sent, trials included.
	Started(now time.Duration, target int)
	// Ended is called with the result of an attempt.
	Ended(now time.Duration, target int, kind health.Kind)
	// Reported is called with a target's load report.
	Reported(now time.Duration, target int, report LoadReport)
}

// Health evaluates the health of the targets on one VM.
type Health interface {
	Started(now time.Duration, attempt Attempt)
	Ended(now time.Duration, attempt Attempt, kind health.Kind, elapsed time.Duration)
	// Probed is called with a probe's result, which may be wrong in either
	// direction.
	Probed(now time.Duration, target int, healthy bool)
	// Tick runs periodic work; it is called every TickInterval.
	Tick(now time.Duration)
	// Weights returns each target's weight, 0 to 1; the engine does not modify it.
	Weights(idempotent bool) []float64
	// NextTrial returns a target that is to get an idempotent request as a trial now.
	NextTrial(now time.Duration) (target int, ok bool)
	State(target int) health.State
}

// Admission admits the requests of customers on one VM and orders them.
type Admission interface {
	// Arrived adds a request to the queue, or returns false to refuse it.
	Arrived(now time.Duration, request *Request) bool
	// Peek returns the request to dispatch next, or nil.
	Peek(now time.Duration) *Request
	// Pop removes the request that Peek returned from the queue.
	Pop(now time.Duration)
	// Ended is called when a popped request ends; answered is false when it
	// failed or was refused.
	Ended(now time.Duration, request *Request, answered bool)
}

// Retrier decides whether a failed attempt is retried.
type Retrier interface {
	// Sent is called when a request's first attempt is sent.
	Sent(now time.Duration, request *Request)
	// Retry reports whether another attempt may be sent now.
	Retry(now time.Duration, request *Request, kind health.Kind) bool
}

// Messenger is implemented by deciders that exchange messages with the same
// decider of the service's other VMs. The engine calls Outbox after each event
// of the VM and delivers each message to the VMs it addresses after the
// service's network delay.
type Messenger interface {
	// Outbox returns the messages to send and removes them from the outbox.
	Outbox(now time.Duration) []Message
	// ReceiveMessage is called with a message from another VM.
	ReceiveMessage(now time.Duration, from int, body any)
}

// Message is a message from one VM's decider to the same decider of other VMs.
type Message struct {
	// To is a VM's index, or AllVMs.
	To   int
	Body any
	// Bytes is the message's approximate size on the wire, for the measured traffic.
	Bytes int
}

// AllVMs addresses all other VMs.
const AllVMs = -1

// Configurer is implemented by admissions whose customers' parameters can be
// changed while requests are in progress.
type Configurer interface {
	Configure(now time.Duration, customers []Customer)
}

// Ticker is implemented by choosers, admissions and retriers with periodic work.
type Ticker interface {
	Tick(now time.Duration)
}

// TickInterval is the time between two ticks of a VM.
const TickInterval = 50 * time.Millisecond

// DeciderConfig describes the simulated service to a decider's constructor.
type DeciderConfig struct {
	// VM is the index of the decider's VM.
	VM       int
	VMs      int
	Zones    int
	Targets  int
	Slots    int
	Scenario *Scenario
	// Random is the seeded random source of the VM's deciders.
	Random *rand.Rand
	// Shared holds state that the deciders of one VM share.
	Shared any
}

// VMZone returns the zone of a VM.
func (config *DeciderConfig) VMZone(vm int) int { return vm % config.Zones }

// TargetZone returns the zone of a target.
func (config *DeciderConfig) TargetZone(target int) int { return target % config.Zones }

// Policy is a set of deciders that is measured as a whole.
type Policy struct {
	Name string
	// Chooser, Health, Admission and Retrier build one VM's deciders.
	Chooser   func(*DeciderConfig) Chooser
	Health    func(*DeciderConfig) Health
	Admission func(*DeciderConfig) Admission
	Retrier   func(*DeciderConfig) Retrier
	// shortWarmup gives the policy the short warm-up of baselineWarmup: it learns
	// no service times.
	shortWarmup bool
}
