package evidence

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/internal/pause"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
)

// receive takes datagrams until the context ends.
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
			events.EvidenceUnreadable.Log(x.options.Logger, "cause", err)
			if !pause.For(ctx, heartbeat) {
				return
			}
			continue
		}
		x.HandleDatagram(buffer[:n])
	}
}

// HandleDatagram handles one datagram.
func (x *Exchange) HandleDatagram(content []byte) {
	var message primroseloomv1.EvidenceDatagram
	if err := proto.Unmarshal(content, &message); err != nil || message.GetFleet() != x.options.Fleet ||
		message.GetVm() == "" || message.GetVm() == x.options.VM {
		x.options.Scope.Counter("datagrams_refused").Inc(1)
		return
	}
	outcomes, crashes, newest := x.fresh(&message)
	if newest {
		attempts := make(map[string]int, len(message.GetUses()))
		for _, use := range message.GetUses() {
			attempts[use.GetTarget()] = int(use.GetInProgress())
		}
		x.options.Receiver.SetInProgress(message.GetVm(), attempts)
		x.options.Receiver.RevisionAnnounced(message.GetVm(), message.GetRevision())
	}
	for _, outcome := range outcomes {
		x.options.Receiver.Observed(fromWire(outcome))
	}
	for _, crash := range crashes {
		x.options.Receiver.Crashed(Crash{Fingerprint: crash.GetFingerprint(), Target: crash.GetTarget(), Answered: crash.GetAnswered()})
	}
}

// fresh notes the sender and returns what was not received before.
func (x *Exchange) fresh(message *primroseloomv1.EvidenceDatagram) (outcomes []*primroseloomv1.AttemptOutcome, crashes []*primroseloomv1.CrashReport, newest bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	from := x.senders[message.GetVm()]
	if from == nil || from.instance != message.GetInstance() {
		from = &sender{instance: message.GetInstance()}
		x.senders[message.GetVm()] = from
	}
	from.heard, from.silent = x.options.Uptime(), false
	for _, outcome := range message.GetOutcomes() {
		if outcome.GetNumber() > from.outcome {
			from.outcome = outcome.GetNumber()
			outcomes = append(outcomes, outcome)
		}
	}
	for _, crash := range message.GetCrashes() {
		if crash.GetNumber() > from.crash {
			from.crash = crash.GetNumber()
			crashes = append(crashes, crash)
		}
	}
	newest = message.GetSequence() > from.sequence
	if newest {
		from.sequence, from.ready, from.rate = message.GetSequence(), message.GetReady(), float64(message.GetRate())
	}
	return outcomes, crashes, newest
}

func fromWire(message *primroseloomv1.AttemptOutcome) Outcome {
	outcome := Outcome{
		Target:      message.GetTarget(),
		FailureNats: float64(message.GetFailureNats()),
		SlowNats:    float64(message.GetSlowNats()),
		ShedNats:    float64(message.GetShedNats()),
	}
	if message.GetHasLoad() {
		outcome.Load = &dialect.Load{Running: int(message.GetRunning()), Waiting: int(message.GetWaiting())}
	}
	return outcome
}

// forgetSilent ends the attempts of VMs that are not heard any more.
func (x *Exchange) forgetSilent() {
	now := x.options.Uptime()
	var silent []string
	x.mu.Lock()
	for vm, from := range x.senders {
		if !from.silent && now-from.heard >= forgetAfter {
			from.silent = true
			silent = append(silent, vm)
		}
	}
	x.mu.Unlock()
	for _, vm := range silent {
		x.options.Receiver.SetInProgress(vm, nil)
	}
}
