package evidence

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Intervals and limits of the exchange.
const (
	// minBatchDelay is how long at least an outcome waits for others to share its
	// datagram.
	minBatchDelay = 15 * time.Millisecond
	// batchDelayPerPeer multiplied by the number of receivers is the minimum delay
	// of a large fleet.
	batchDelayPerPeer = time.Millisecond
	// heartbeatInterval is the time between datagrams of a VM without new evidence.
	heartbeatInterval = 200 * time.Millisecond
	// silenceTimeout is the time since the last datagram of a VM after which its
	// attempts count as ended.
	silenceTimeout = time.Second
	// pauseThreshold is the time between two heartbeats of this VM that counts as a pause of its
	// process.
	pauseThreshold = silenceTimeout / 2
	// maxOutcomeBytes is the size of the outcomes from which no further one is added to a datagram, so that
	// the datagram of a VM that uses few targets fits into one network packet.
	maxOutcomeBytes = 1100
	// maxContentBytes bounds a datagram, in bytes. UDP has at most 65,507; one that is too large is not sent, and
	// its sender seems to have ended.
	maxContentBytes = 62_000
	// maxUsesBytes and maxServicesBytes bound the targets in use and the services that are not reached in one
	// datagram, in bytes.
	maxUsesBytes, maxServicesBytes = 24 << 10, 6 << 10
	// nameOverhead is the most that a name, with a number, has in a datagram beyond its own bytes.
	nameOverhead = 12
	// maxOutcomesPerDatagram bounds the outcomes of one datagram.
	maxOutcomesPerDatagram = 24
	// maxPendingOutcomes bounds the outcomes that are still to be sent; the oldest
	// are dropped.
	maxPendingOutcomes = 512
	// runTimesPerFarDatagram divides the mean run time of attempts into the least time between
	// two datagrams to other zones that are not urgent.
	runTimesPerFarDatagram = 3
	// maxFarFailureDelay bounds the time between two datagrams that take outcomes which count
	// against their targets to other zones. The first goes at once; while many targets fail,
	// each datagram would otherwise go everywhere.
	maxFarFailureDelay = 100 * time.Millisecond
	// forgetTime is the time since the last datagram of a VM after which nothing is kept of it, maxSenders the
	// number of VMs of which something is kept.
	forgetTime, maxSenders = time.Minute, 4096
	// sendsPerOutcome is the number of datagrams that carry an outcome, since a
	// datagram may be lost.
	sendsPerOutcome = 2
)

// pendingOutcome is an outcome with sends left.
type pendingOutcome struct {
	message *primroseloomv1.AttemptOutcome
	// nearLeft and farLeft count the datagrams to the own zone and to others that are still to
	// carry it.
	nearLeft, farLeft int
}

// sender is the state of a VM from which datagrams were received.
type sender struct {
	instance, lastSequence, lastOutcome uint64
	lastReceived                        time.Duration
	ready                               bool
	rate                                float64
	cutOff                              []string
	pathInDoubt                         bool
	keysNotCurrent, readsStore          bool
	silent                              bool
}

// Exchange sends evidence to other VMs and receives theirs.
type Exchange struct {
	options Options
	wake    chan struct{}

	mu            sync.Mutex
	sequence      uint64
	lastOutcome   uint64
	pending       []pendingOutcome
	sendRequested bool
	// urgent is true when the next datagram goes to other zones, too; farSentAt is when the
	// latest one did.
	urgent    bool
	farSentAt time.Duration
	// failurePending is true while an outcome that counts against its target is still to be
	// sent to other zones; the latest was at farFailureSentAt.
	failurePending   bool
	farFailureSentAt time.Duration
	senders          map[string]*sender
	// evicted are the VMs that were forgotten although they may have attempts in progress.
	evicted []string
	// expiredAt is when silent senders were last looked for, zero before the first time;
	// resumedAt is when this process last ran again after a pause.
	expiredAt, resumedAt time.Duration
	// refusalLoggedAt is when a refused datagram was last logged; zero before the first.
	refusalLoggedAt time.Duration
}

// New returns an exchange over a bound UDP socket.
func New(options Options) *Exchange {
	options.Scope = options.Scope.SubScope("evidence")
	return &Exchange{options: options, wake: make(chan struct{}, 1), senders: make(map[string]*sender)}
}

// Publish sends an outcome to the VMs that serve callers.
func (x *Exchange) Publish(outcome AttemptEvidence) {
	x.mu.Lock()
	x.lastOutcome++
	message := &primroseloomv1.AttemptOutcome{
		Number:      x.lastOutcome,
		Target:      outcome.Target,
		FailureNats: float32(outcome.FailureNats),
		SlowNats:    float32(outcome.SlowNats),
		ShedNats:    float32(outcome.ShedNats),
		RefusedFull: outcome.RefusedFull,
	}
	if outcome.Load != nil {
		message.HasLoad = true
		message.Running, message.Waiting = uint32(outcome.Load.Running), uint32(outcome.Load.Waiting)
	}
	x.pending = append(x.pending, pendingOutcome{message: message, nearLeft: sendsPerOutcome, farLeft: sendsPerOutcome})
	if over := len(x.pending) - maxPendingOutcomes; over > 0 {
		x.pending = x.pending[over:]
		x.options.Scope.Counter("outcomes_dropped").Inc(int64(over))
	}
	isFirstFailure := outcome.isBad() && !x.failurePending
	x.failurePending = x.failurePending || outcome.isBad()
	x.mu.Unlock()
	x.requestSend(false)
	if isFirstFailure {
		time.AfterFunc(x.farFailureDelay(), func() { x.requestSend(false) })
	}
}

// AnnouncementChanged schedules a datagram that tells other VMs what this one has of the
// published items.
func (x *Exchange) AnnouncementChanged() { x.requestSend(true) }

// RequestsChanged schedules a datagram with new evidence about requests that may
// crash targets.
func (x *Exchange) RequestsChanged() { x.requestSend(true) }

// NoticesChanged schedules a datagram with what targets say of themselves.
func (x *Exchange) NoticesChanged() { x.requestSend(true) }

// InProgressChanged schedules a datagram with the new numbers of attempts in
// progress.
func (x *Exchange) InProgressChanged() { x.requestSend(false) }

// requestSend makes Run send a datagram after the batch delay. One that isn't urgent goes to
// other zones only when none has for a while.
func (x *Exchange) requestSend(urgent bool) {
	x.mu.Lock()
	x.urgent = x.urgent || urgent
	first := !x.sendRequested
	x.sendRequested = true
	x.mu.Unlock()
	if !first {
		return
	}
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// LastReceived returns the time since the last datagram of a VM and whether it
// accepts callers; ok is false when none was received.
func (x *Exchange) LastReceived(vm string) (age time.Duration, ready, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	from, ok := x.senders[vm]
	if !ok {
		return 0, false, false
	}
	return x.options.Uptime() - from.lastReceived, from.ready, true
}

// Rate returns the requests a second that a VM reported last, or zero when its
// last datagram is too old.
func (x *Exchange) Rate(vm string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	from, ok := x.senders[vm]
	if !ok || x.options.Uptime()-from.lastReceived >= silenceTimeout {
		return 0
	}
	return from.rate
}

// IsCutOff reports whether a VM said last that it reaches no target of a service; of any
// service when the name is empty.
func (x *Exchange) IsCutOff(vm, service string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	from, ok := x.senders[vm]
	if !ok || x.options.Uptime()-from.lastReceived >= silenceTimeout {
		return false
	}
	return slices.Contains(from.cutOff, service) || service == "" && len(from.cutOff) > 0
}

// NeedsEvidence reports whether a VM said last that it is cut off from targets, or may be. It
// then needs to know what targets answer others.
func (x *Exchange) NeedsEvidence(vm string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	from, ok := x.senders[vm]
	if !ok || x.options.Uptime()-from.lastReceived >= silenceTimeout {
		return false
	}
	return len(from.cutOff) > 0 || from.pathInDoubt
}

// PathChanged schedules a datagram that tells which services this VM reaches.
func (x *Exchange) PathChanged() { x.requestSend(true) }

// Run sends and receives datagrams until the context ends.
func (x *Exchange) Run(ctx context.Context) error {
	go x.receive(ctx)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			x.expireSilentSenders()
			x.send(true)
		case <-x.wake:
			if !pause.For(ctx, x.batchDelay()) {
				return ctx.Err()
			}
			x.send(false)
		}
	}
}
