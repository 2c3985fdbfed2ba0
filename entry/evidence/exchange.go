package evidence

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// Times and sizes of the exchange.
const (
	// gatherTime is how long an outcome waits for others to share its datagram.
	gatherTime = 15 * time.Millisecond
	// gatherPerPeer is the least that it waits for each VM that is to have it.
	gatherPerPeer = time.Millisecond
	// heartbeat is the time between datagrams of a VM that has nothing to say.
	heartbeat = 200 * time.Millisecond
	// forgetAfter is the silence after which a VM's attempts count as ended.
	forgetAfter = time.Second
	// maxDatagram keeps datagrams in one packet of the network.
	maxDatagram = 1400
	// maxOutcomes bounds the outcomes of one datagram.
	maxOutcomes = 24
	// maxWaiting bounds the outcomes that wait; the oldest are dropped.
	maxWaiting = 512
	// timesSent is how often an outcome is sent.
	timesSent = 2
)

// Outcome is the end of one attempt as evidence.
type Outcome struct {
	// Target is the instance identifier.
	Target string
	// The nats speak for a fault when positive: failing, slowness, and refusals without need.
	FailureNats, SlowNats, ShedNats float64
	// Load is what the target reported; nil when it did not.
	Load *dialect.Load
}

// Crash names a request whose target went away while it ran, or one that was
// answered after such reports.
type Crash struct {
	Fingerprint uint64
	Target      string
	// Answered is true when a target answered the request whole.
	Answered bool
}

// Receiver is told what other VMs send.
type Receiver interface {
	// Observed takes over another VM's evidence.
	Observed(outcome Outcome)
	// SetInProgress sets the attempts of a VM on all targets; absent ones have none.
	SetInProgress(vm string, attempts map[string]int)
	// Crashed takes over a report of a crash.
	Crashed(crash Crash)
	// RevisionAnnounced tells up to which revision a VM has read the store itself; zero
	// while it does not read it.
	RevisionAnnounced(vm string, revision uint64)
}

// Peer is another VM to which datagrams go.
type Peer struct {
	VM      string
	Address netip.AddrPort
	// Serves is true when the VM is to get evidence, rather than heartbeats only.
	Serves bool
}

// Options are what an Exchange is built from.
type Options struct {
	Fleet    string
	VM       string
	Instance uint64
	Conn     net.PacketConn
	// Serving reports whether this VM is among those that callers are shown.
	Serving func() bool
	// Ready reports whether this VM takes callers.
	Ready func() bool
	// Peers returns the other VMs.
	Peers func() []Peer
	// AttemptsInProgress returns this VM's attempts in progress by target.
	AttemptsInProgress func() map[string]int
	// Rate returns the requests a second that this VM serves.
	Rate func() float64
	// Revision returns the store's revision up to which this VM has read the store
	// itself, and zero while it does not read it.
	Revision func() uint64
	Receiver Receiver
	Uptime   func() time.Duration
	Logger   *log.Logger
	Scope    tally.Scope
}

// waiting is an outcome that is still to be sent.
type waiting struct {
	message *primroseloomv1.AttemptOutcome
	left    int
}

// sender is what is known of a VM that sends datagrams.
type sender struct {
	instance, sequence, outcome, crash uint64
	heard                              time.Duration
	ready                              bool
	rate                               float64
	silent                             bool
}

// Exchange sends and receives evidence.
type Exchange struct {
	options Options
	wake    chan struct{}

	mu       sync.Mutex
	sequence uint64
	outcomes uint64
	crashes  uint64
	waiting  []waiting
	reports  []*primroseloomv1.CrashReport
	dirty    bool
	senders  map[string]*sender
}

// New returns an exchange over a bound UDP socket.
func New(options Options) *Exchange {
	options.Scope = options.Scope.SubScope("evidence")
	return &Exchange{options: options, wake: make(chan struct{}, 1), senders: make(map[string]*sender)}
}

// Publish sends an outcome to the VMs that serve callers.
func (x *Exchange) Publish(outcome Outcome) {
	x.mu.Lock()
	x.outcomes++
	message := &primroseloomv1.AttemptOutcome{
		Number:      x.outcomes,
		Target:      outcome.Target,
		FailureNats: float32(outcome.FailureNats),
		SlowNats:    float32(outcome.SlowNats),
		ShedNats:    float32(outcome.ShedNats),
	}
	if outcome.Load != nil {
		message.HasLoad = true
		message.Running, message.Waiting = uint32(outcome.Load.Running), uint32(outcome.Load.Waiting)
	}
	x.waiting = append(x.waiting, waiting{message: message, left: timesSent})
	if over := len(x.waiting) - maxWaiting; over > 0 {
		x.waiting = x.waiting[over:]
		x.options.Scope.Counter("outcomes_dropped").Inc(int64(over))
	}
	x.mu.Unlock()
	x.prompt()
}

// ReportCrash tells the other VMs of a request that crashed a target.
func (x *Exchange) ReportCrash(crash Crash) {
	const maxReports = 16
	x.mu.Lock()
	x.crashes++
	report := &primroseloomv1.CrashReport{Number: x.crashes, Fingerprint: crash.Fingerprint, Target: crash.Target, Answered: crash.Answered}
	x.reports = append(x.reports, report)
	x.reports = x.reports[max(len(x.reports)-maxReports, 0):]
	x.mu.Unlock()
	x.prompt()
}

// InProgressChanged tells the other VMs of new numbers of attempts in progress.
func (x *Exchange) InProgressChanged() { x.prompt() }

// prompt makes the loop send soon.
func (x *Exchange) prompt() {
	x.mu.Lock()
	first := !x.dirty
	x.dirty = true
	x.mu.Unlock()
	if !first {
		return
	}
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// LastReceived returns how long ago a VM was last heard and whether it takes callers;
// ok is false when it never was.
func (x *Exchange) LastReceived(vm string) (age time.Duration, ready, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	from, ok := x.senders[vm]
	if !ok {
		return 0, false, false
	}
	return x.options.Uptime() - from.heard, from.ready, true
}

// Rate returns the requests a second that a VM serves by its last word, or
// zero when it is silent.
func (x *Exchange) Rate(vm string) float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	from, ok := x.senders[vm]
	if !ok || x.options.Uptime()-from.heard >= forgetAfter {
		return 0
	}
	return from.rate
}

// Run sends until the context ends; receiving goes on beside it.
func (x *Exchange) Run(ctx context.Context) error {
	go x.receive(ctx)
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			x.forgetSilent()
			x.send(true)
		case <-x.wake:
			if !pause.For(ctx, x.gatherTime()) {
				return ctx.Err()
			}
			x.send(false)
		}
	}
}

// gatherTime grows with the number of VMs to which a datagram goes, so that
// what a VM sends stays bounded.
func (x *Exchange) gatherTime() time.Duration {
	serving := 0
	for _, peer := range x.options.Peers() {
		if peer.Serves {
			serving++
		}
	}
	return max(gatherTime, time.Duration(serving)*gatherPerPeer)
}

// send writes one datagram to each VM that is to have it.
func (x *Exchange) send(beat bool) {
	serving := x.options.Serving()
	content := x.next(serving)
	if content == nil {
		return
	}
	for _, peer := range x.options.Peers() {
		if !peer.Serves && !(beat && serving) {
			continue
		}
		if _, err := x.options.Conn.WriteTo(content, net.UDPAddrFromAddrPort(peer.Address)); err != nil {
			x.options.Scope.Counter("datagrams_failed").Inc(1)
			events.EvidenceUnsent.Log(x.options.Logger, "peer", peer.VM, "address", peer.Address, "cause", err)
			continue
		}
		x.options.Scope.Counter("datagrams_sent").Inc(1)
	}
}

// next returns the next datagram, or nil when a VM that serves nobody has
// nothing to say.
func (x *Exchange) next(serving bool) []byte {
	// The other children are asked before the lock is taken: they call the
	// exchange while they hold their own.
	uses := x.options.AttemptsInProgress()
	ready, revision, rate := x.options.Ready(), x.options.Revision(), x.options.Rate()
	x.mu.Lock()
	defer x.mu.Unlock()
	if !serving && !x.dirty && len(x.waiting) == 0 && len(uses) == 0 {
		return nil
	}
	x.dirty = false
	x.sequence++
	message := &primroseloomv1.EvidenceDatagram{
		Fleet:    x.options.Fleet,
		Vm:       x.options.VM,
		Instance: x.options.Instance,
		Sequence: x.sequence,
		Ready:    ready,
		Crashes:  x.reports,
		Revision: revision,
		Rate:     uint32(rate + 0.5),
	}
	for target, count := range uses {
		message.Uses = append(message.Uses, &primroseloomv1.TargetUse{Target: target, InProgress: uint32(count)})
	}
	x.takeOutcomes(message)
	content, err := proto.Marshal(message)
	if err != nil {
		x.options.Scope.Counter("datagrams_unwritable").Inc(1)
		return nil
	}
	return content
}

// takeOutcomes moves the outcomes that wait into a datagram; the lock is held.
func (x *Exchange) takeOutcomes(message *primroseloomv1.EvidenceDatagram) {
	size := proto.Size(message)
	kept := x.waiting[:0]
	for i := range x.waiting {
		one := &x.waiting[i]
		if len(message.Outcomes) < maxOutcomes && size < maxDatagram {
			size += proto.Size(one.message)
			message.Outcomes = append(message.Outcomes, one.message)
			one.left--
		}
		if one.left > 0 {
			kept = append(kept, *one)
		}
	}
	x.waiting = kept
}
