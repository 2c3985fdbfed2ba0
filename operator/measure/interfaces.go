package measure

import (
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/policy/health"
)

// Request is one request of a customer, as a VM sees it.
type Request struct {
	ID       uint64
	Customer int
	// Arrived is the virtual time at which the VM received the request.
	Arrived time.Duration
	// Deadline is the virtual time by which the request must have ended.
	Deadline time.Duration
	// Idempotent requests may run twice, so they may be retried and serve as trials.
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
	// Trial marks an attempt that tests a target which takes no ordinary work.
	Trial bool
	// Load is the VM's estimate of requests in progress for each slot of the target.
	Load float64
}

// LoadReport is what a target's load endpoint says; it lags.
type LoadReport struct {
	InFlight int
	Slots    int
	Queued   int
}

// Chooser picks the target of an attempt on one VM.
type Chooser interface {
	// Choose returns a target, or false when the request is to wait. A target
	// of weight 0 takes no ordinary work; weights are indexed by target.
	Choose(now time.Duration, request *Request, weights []float64) (target int, ok bool)
	// Started tells that an attempt is sent, trials included.
	Started(now time.Duration, target int)
	// Ended tells how an attempt ended.
	Ended(now time.Duration, target int, kind health.Kind)
	// Reported hands over a target's load report.
	Reported(now time.Duration, target int, report LoadReport)
}

// Health judges the targets on one VM.
type Health interface {
	Started(now time.Duration, attempt Attempt)
	Ended(now time.Duration, attempt Attempt, kind health.Kind, elapsed time.Duration)
	// Probed hands over a probe's result; a target may lie in either direction.
	Probed(now time.Duration, target int, healthy bool)
	// Tick runs periodic work; it is called every TickInterval.
	Tick(now time.Duration)
	// Weights returns each target's share, 0 to 1; the engine only reads it.
	Weights(idempotent bool) []float64
	// NextTrial returns a target that wants an idempotent request as a trial now.
	NextTrial(now time.Duration) (target int, ok bool)
	State(target int) health.State
}

// Admission admits the requests of customers on one VM and orders them.
type Admission interface {
	// Arrived takes a request into the queue, or refuses it by returning false.
	Arrived(now time.Duration, request *Request) bool
	// Peek returns the request to dispatch next, or nil.
	Peek(now time.Duration) *Request
	// Pop takes the request that Peek returned out of the queue.
	Pop(now time.Duration)
	// Ended tells that a popped request ended; answered is false for a refusal.
	Ended(now time.Duration, request *Request, answered bool)
}

// Retrier decides whether a failed attempt is followed by another one.
type Retrier interface {
	// Sent tells that a request's first attempt was sent.
	Sent(now time.Duration, request *Request)
	// Retry reports whether another attempt may be sent now.
	Retry(now time.Duration, request *Request, kind health.Kind) bool
}

// Messenger is implemented by deciders that talk to the same decider of the
// service's other VMs. The engine calls Outbox after each event of the VM and
// delivers each message to the VMs concerned after the peer delay.
type Messenger interface {
	Outbox(now time.Duration) []Message
	ReceiveMessage(now time.Duration, from int, body any)
}

// Message goes from one VM's decider to another's.
type Message struct {
	// To is a VM's index, or Everyone.
	To   int
	Body any
	// Bytes is the message's size on the wire, for the traffic figure.
	Bytes int
}

// AllVMs addresses all other VMs.
const AllVMs = -1

// Configurer is implemented by admissions whose customers can be changed
// while requests are in progress.
type Configurer interface {
	Configure(now time.Duration, customers []Customer)
}

// Ticker is implemented by choosers and admissions with periodic work.
type Ticker interface {
	Tick(now time.Duration)
}

// TickInterval is the time between two ticks of a VM.
const TickInterval = 50 * time.Millisecond

// DeciderConfig is what a decider is told about the fleet when it is built.
type DeciderConfig struct {
	// VM is the index of the VM that the decider works on.
	VM       int
	VMs      int
	Zones    int
	Targets  int
	Slots    int
	Scenario *Scenario
	// Random is the decider's own seeded source.
	Random *rand.Rand
	// Shared holds state that the deciders of one VM share.
	Shared any
}

// VMZone returns the zone of a VM.
func (s *DeciderConfig) VMZone(vm int) int { return vm % s.Zones }

// TargetZone returns the zone of a target.
func (s *DeciderConfig) TargetZone(target int) int { return target % s.Zones }

// Policy is a set of deciders that is measured as a whole.
type Policy struct {
	Name string
	// Chooser, Health, Admission and Retrier build one VM's deciders.
	Chooser   func(*DeciderConfig) Chooser
	Health    func(*DeciderConfig) Health
	Admission func(*DeciderConfig) Admission
	Retrier   func(*DeciderConfig) Retrier
	// learnsNothing policies need only a short warm-up.
	learnsNothing bool
}
