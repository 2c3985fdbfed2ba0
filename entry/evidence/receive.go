package evidence

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// receive reads datagrams until the context ends.
func (x *Exchange) receive(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = x.options.Conn.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := x.options.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			events.EvidenceReadFailed.Log(x.options.Logger, "cause", err)
			if !pause.For(ctx, heartbeatInterval) {
				return
			}
			continue
		}
		x.HandleDatagram(buffer[:n])
	}
}

// refusalLogInterval is the least time between two log lines of refused datagrams.
const refusalLogInterval = 10 * time.Second

// Reasons of refusals.
var (
	errForeignFleet = errors.New("of another fleet")
	errNoSender     = errors.New("without another VM as the sender")
)

// decode decodes a datagram; the error is why it is refused. Fields that this build doesn't
// know are skipped, so that a newer build's datagrams are taken.
func (x *Exchange) decode(content []byte, message *primroseloomv1.EvidenceDatagram) error {
	if err := proto.Unmarshal(content, message); err != nil {
		return fmt.Errorf("decode a datagram of %d bytes: %w", len(content), err)
	}
	if message.GetFleet() != x.options.Fleet {
		return errForeignFleet
	}
	if message.GetVm() == "" || message.GetVm() == x.options.VM {
		return errNoSender
	}
	return nil
}

// refuse counts a refused datagram and, not too often, logs it.
func (x *Exchange) refuse(message *primroseloomv1.EvidenceDatagram, bytes int, cause error) {
	x.options.Scope.Counter("datagrams_refused").Inc(1)
	now := x.options.Uptime()
	x.mu.Lock()
	isDue := x.refusalLoggedAt == 0 || now-x.refusalLoggedAt >= refusalLogInterval
	if isDue {
		x.refusalLoggedAt = now
	}
	x.mu.Unlock()
	if isDue {
		events.DatagramRefused.Log(x.options.Logger, "peer", message.GetVm(), "fleet", message.GetFleet(), "bytes", bytes, "cause", cause)
	}
}

// HandleDatagram decodes a datagram and passes what is new to the receiver.
func (x *Exchange) HandleDatagram(content []byte) {
	var message primroseloomv1.EvidenceDatagram
	if err := x.decode(content, &message); err != nil {
		x.refuse(&message, len(content), err)
		return
	}
	outcomes, newest := x.recordAndFilter(&message)
	if newest {
		attempts := make(map[string]int, len(message.GetUses()))
		for _, use := range message.GetUses() {
			attempts[use.GetTarget()] = int(use.GetInProgress())
		}
		x.options.Receiver.SetInProgress(message.GetVm(), attempts)
		x.options.Receiver.Announced(message.GetVm(), contract.Announcement{
			Position:      contract.StorePosition{Era: message.GetStoreEra(), Revision: message.GetRevision()},
			StoreAge:      time.Duration(message.GetStoreAgeMs()) * time.Millisecond,
			RoutesVersion: message.GetRoutesVersion(),
		})
		x.receiveAdmissions(&message)
	}
	for _, outcome := range outcomes {
		x.options.Receiver.Observed(message.GetVm(), outcomeFromWire(outcome))
	}
	for _, request := range message.GetRequests() {
		x.options.Receiver.MergeRequest(message.GetVm(), RequestFromWire(request, x.options.Uptime()))
	}
	if newest {
		x.options.Receiver.DigestReceived(message.GetVm(), message.GetRequestsDigest())
	}
	for _, said := range message.GetNotices() {
		x.options.Receiver.MergeNotice(message.GetVm(), noticeFromWire(said, x.options.Uptime()))
	}
}

// recordAndFilter updates the sender's state and returns the outcomes not
// received before; newest is false for a datagram that arrives out of order.
func (x *Exchange) recordAndFilter(message *primroseloomv1.EvidenceDatagram) (outcomes []*primroseloomv1.AttemptOutcome, newest bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	from := x.senders[message.GetVm()]
	if from == nil || from.instance != message.GetInstance() {
		from = &sender{instance: message.GetInstance(), lastReceived: x.options.Uptime()}
		x.senders[message.GetVm()] = from
		x.limitSenders()
	}
	from.lastReceived, from.silent = x.options.Uptime(), false
	for _, outcome := range message.GetOutcomes() {
		if outcome.GetNumber() > from.lastOutcome {
			from.lastOutcome = outcome.GetNumber()
			outcomes = append(outcomes, outcome)
		}
	}
	newest = message.GetSequence() > from.lastSequence
	if newest {
		from.lastSequence, from.ready, from.rate = message.GetSequence(), message.GetReady(), float64(message.GetRate())
		from.cutOff, from.pathInDoubt = message.GetCutOffServices(), message.GetPathInDoubt()
		from.keysNotCurrent, from.readsStore = message.GetKeysNotCurrent(), message.GetRevision() > 0
	}
	return outcomes, newest
}

// limitSenders forgets the sender that was heard longest ago when there are too many; the lock is held.
func (x *Exchange) limitSenders() {
	if len(x.senders) <= maxSenders {
		return
	}
	oldest := ""
	for vm, from := range x.senders {
		if oldest == "" || from.lastReceived < x.senders[oldest].lastReceived {
			oldest = vm
		}
	}
	delete(x.senders, oldest)
	x.evicted = append(x.evicted, oldest)
}

func outcomeFromWire(message *primroseloomv1.AttemptOutcome) AttemptEvidence {
	outcome := AttemptEvidence{
		Target:      message.GetTarget(),
		FailureNats: float64(message.GetFailureNats()),
		SlowNats:    float64(message.GetSlowNats()),
		ShedNats:    float64(message.GetShedNats()),
		RefusedFull: message.GetRefusedFull() && message.GetHasLoad(),
	}
	if message.GetHasLoad() {
		outcome.Load = &dialect.Load{Running: int(message.GetRunning()), Waiting: int(message.GetWaiting())}
	}
	return outcome
}

// expireSilentSenders clears the attempts of VMs whose datagrams no longer arrive. Time in which
// this process did not run is no silence of others.
func (x *Exchange) expireSilentSenders() {
	now := x.options.Uptime()
	x.mu.Lock()
	silent := x.evicted
	x.evicted = nil
	if x.expiredAt > 0 && now-x.expiredAt >= pauseThreshold {
		x.resumedAt = now
	}
	x.expiredAt = now
	for vm, from := range x.senders {
		age := now - max(from.lastReceived, x.resumedAt)
		if !from.silent && age >= silenceTimeout {
			from.silent = true
			silent = append(silent, vm)
		}
		if age >= forgetTime {
			delete(x.senders, vm)
		}
	}
	x.mu.Unlock()
	for _, vm := range silent {
		x.options.Receiver.SetInProgress(vm, nil)
	}
}
