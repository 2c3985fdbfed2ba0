package evidence

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/quarantine"
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
	// maxDatagramBytes is the size from which no further outcome is added to a
	// datagram, so that it usually fits into one network packet.
	maxDatagramBytes = 1400
	// maxOutcomesPerDatagram bounds the outcomes of one datagram.
	maxOutcomesPerDatagram = 24
	// maxPendingOutcomes bounds the outcomes that are still to be sent; the oldest
	// are dropped.
	maxPendingOutcomes = 512
	// runTimesPerFarDatagram divides the mean run time of attempts into the least time between
	// two datagrams to other zones that are not urgent.
	runTimesPerFarDatagram = 3
	// sendsPerOutcome is the number of datagrams that carry an outcome, since a
	// datagram may be lost.
	sendsPerOutcome = 2
)

// AttemptEvidence is the evidence from one attempt.
type AttemptEvidence struct {
	// Target is the instance identifier.
	Target string
	// Evidence of three faults, in nats: failing, slowness, and refusing requests
	// although slots are free. Positive values are evidence for the fault.
	FailureNats, SlowNats, ShedNats float64
	// Load is the load that the target reported, or nil.
	Load *dialect.Load
}

// Receiver applies what other VMs send.
type Receiver interface {
	// Observed applies another VM's evidence.
	Observed(vm string, outcome AttemptEvidence)
	// SetInProgress replaces the attempts in progress of a VM, by target; a target
	// that is absent has none.
	SetInProgress(vm string, attempts map[string]int)
	// MergeRequest applies what a VM knows of a request that may crash targets.
	MergeRequest(vm string, evidence quarantine.Evidence)
	// DigestReceived applies the digest of what a VM knows of such requests, which its
	// heartbeats carry; zero when it tells none.
	DigestReceived(vm string, digest uint64)
	// MergeNotice applies what a VM knows of what a target says of itself.
	MergeNotice(vm string, report notice.Report)
	// Announced applies what a VM has of the published items.
	Announced(vm string, announcement contract.Announcement)
}

// Peer is another VM to which datagrams go.
type Peer struct {
	VM      string
	Address netip.AddrPort
	// IsPrimary is true when the VM is a primary VM of its zone, or is or may be cut off from
	// targets. Such a VM gets all datagrams, rather than heartbeats only.
	IsPrimary bool
	// SameZone is true when the VM is in this VM's availability zone.
	SameZone bool
}

// Options configures an Exchange.
type Options struct {
	Fleet    string
	VM       string
	Instance uint64
	Conn     net.PacketConn
	// IsPrimary reports whether this VM is a primary VM of its zone, one of those
	// advertised to callers, or one whose heartbeats others need all the same.
	IsPrimary func() bool
	// Ready reports whether this VM accepts callers.
	Ready func() bool
	// Peers returns the other VMs.
	Peers func() []Peer
	// AttemptsInProgress returns this VM's attempts in progress by target.
	AttemptsInProgress func() map[string]int
	// MeanRunTime returns the mean duration of this VM's attempts.
	MeanRunTime func() time.Duration
	// Rate returns the requests a second that this VM serves.
	Rate func() float64
	// Announcement returns what this VM has of the published items.
	Announcement func() contract.Announcement
	// CutOffServices returns the services of which this VM reaches no target although they
	// answer others.
	CutOffServices func() []string
	// PathInDoubt reports whether this VM may be cut off from the targets of a service.
	PathInDoubt func() bool
	// Requests returns what the next datagram tells of requests that may crash targets:
	// what is new and, in a heartbeat, a part of what was told before.
	Requests func(isHeartbeat bool) []quarantine.Evidence
	// RequestsDigest returns the digest of all that this VM knows of such requests.
	RequestsDigest func() uint64
	// Notices returns what the next datagram tells of what targets say of themselves: what
	// has changed lately and, in a heartbeat, a part of all.
	Notices  func(isHeartbeat bool) []notice.Report
	Receiver Receiver
	Uptime   func() time.Duration
	Logger   *log.Logger
	Scope    tally.Scope
}

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
	senders   map[string]*sender
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
	x.mu.Unlock()
	x.requestSend(outcome.isBad())
}

// isBad reports whether the outcome counts against its target.
func (e AttemptEvidence) isBad() bool { return e.FailureNats > 0 || e.SlowNats > 0 || e.ShedNats > 0 }

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

// batchDelay returns the delay between a change and its datagram. It grows with
// the number of receivers, so that the packet rate of a VM stays bounded.
func (x *Exchange) batchDelay() time.Duration {
	primaries := 0
	for _, peer := range x.options.Peers() {
		if peer.IsPrimary {
			primaries++
		}
	}
	return max(minBatchDelay, time.Duration(primaries)*batchDelayPerPeer)
}

// farDelay returns the least time between two datagrams to other zones that are not urgent.
func (x *Exchange) farDelay() time.Duration {
	return min(max(x.options.MeanRunTime()/runTimesPerFarDatagram, minBatchDelay), heartbeatInterval)
}

// includesFar reports whether the next datagram goes to other zones, too, and records it.
func (x *Exchange) includesFar(isHeartbeat bool) bool {
	delay, now := x.farDelay(), x.options.Uptime()
	x.mu.Lock()
	defer x.mu.Unlock()
	isFull := len(x.pending) >= maxOutcomesPerDatagram
	if !isHeartbeat && !x.urgent && !isFull && now-x.farSentAt < delay {
		return false
	}
	x.urgent, x.farSentAt = false, now
	return true
}

// send sends one datagram to the VMs that serve callers, those of other zones only when that
// is due; a heartbeat goes to all peers if this VM serves callers.
func (x *Exchange) send(isHeartbeat bool) {
	isPrimary, far := x.options.IsPrimary(), x.includesFar(isHeartbeat)
	content := x.nextDatagram(isPrimary, isHeartbeat, far)
	if content == nil {
		return
	}
	for _, peer := range x.options.Peers() {
		if !peer.SameZone && !far || !peer.IsPrimary && !(isHeartbeat && isPrimary) {
			continue
		}
		if _, err := x.options.Conn.WriteTo(content, net.UDPAddrFromAddrPort(peer.Address)); err != nil {
			x.options.Scope.Counter("datagrams_failed").Inc(1)
			events.EvidenceSendFailed.Log(x.options.Logger, "peer", peer.VM, "address", peer.Address, "cause", err)
			continue
		}
		x.options.Scope.Counter("datagrams_sent").Inc(1)
		x.countBytes(peer, len(content))
	}
}

// countBytes counts the bytes sent, by whether they leave the zone.
func (x *Exchange) countBytes(peer Peer, bytes int) {
	zone := "other"
	if peer.SameZone {
		zone = "own"
	}
	x.options.Scope.Tagged(map[string]string{"zone": zone}).Counter("bytes_sent").Inc(int64(bytes))
}

// nextDatagram returns the next datagram, or nil when this VM serves no callers
// and has nothing to report.
func (x *Exchange) nextDatagram(isPrimary, isHeartbeat, far bool) []byte {
	// These callbacks run before the lock is taken, since the components behind
	// them call the exchange while they hold their own locks.
	uses := x.options.AttemptsInProgress()
	ready, announced, rate := x.options.Ready(), x.options.Announcement(), x.options.Rate()
	cutOff, inDoubt := x.options.CutOffServices(), x.options.PathInDoubt()
	requests := RequestsToWire(x.options.Requests(isHeartbeat), x.options.Uptime())
	digest := uint64(0)
	if isHeartbeat && isPrimary { // one that sends no further heartbeats would leave an old digest
		digest = x.options.RequestsDigest()
	}
	notices := noticesToWire(x.options.Notices(isHeartbeat), x.options.Uptime())
	x.mu.Lock()
	defer x.mu.Unlock()
	if !isPrimary && !x.sendRequested && len(x.pending) == 0 && len(uses) == 0 && len(requests) == 0 {
		return nil
	}
	x.sendRequested = false
	x.sequence++
	message := &primroseloomv1.EvidenceDatagram{
		Fleet:         x.options.Fleet,
		Vm:            x.options.VM,
		Instance:      x.options.Instance,
		Sequence:      x.sequence,
		Ready:         ready,
		Requests:      requests,
		Notices:       notices,
		Revision:      announced.Position.Revision,
		StoreEra:      announced.Position.Era,
		RoutesVersion: announced.RoutesVersion,
		Rate:          uint32(rate + 0.5),

		CutOffServices: cutOff,
		PathInDoubt:    inDoubt,
		RequestsDigest: digest,
	}
	for target, count := range uses {
		message.Uses = append(message.Uses, &primroseloomv1.TargetUse{Target: target, InProgress: uint32(count)})
	}
	x.appendOutcomes(message, far)
	content, err := proto.Marshal(message)
	if err != nil {
		x.options.Scope.Counter("datagrams_unwritable").Inc(1)
		return nil
	}
	return content
}

// appendOutcomes adds pending outcomes to a datagram and drops those without
// sends left; the lock is held.
func (x *Exchange) appendOutcomes(message *primroseloomv1.EvidenceDatagram, far bool) {
	size := proto.Size(message)
	kept := x.pending[:0]
	for i := range x.pending {
		entry := &x.pending[i]
		isDue := entry.nearLeft > 0 || far && entry.farLeft > 0
		if isDue && len(message.Outcomes) < maxOutcomesPerDatagram && size < maxDatagramBytes {
			size += proto.Size(entry.message)
			message.Outcomes = append(message.Outcomes, entry.message)
			entry.nearLeft = max(entry.nearLeft-1, 0)
			if far {
				entry.farLeft = max(entry.farLeft-1, 0)
			}
		}
		if entry.nearLeft > 0 || entry.farLeft > 0 {
			kept = append(kept, *entry)
		}
	}
	x.pending = kept
}
