package evidence

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/dialect"
)

// sentPackets records the packets written.
type sentPackets struct {
	net.PacketConn
	sent [][]byte
}

func (s *sentPackets) WriteTo(p []byte, _ net.Addr) (int, error) {
	s.sent = append(s.sent, append([]byte(nil), p...))
	return len(p), nil
}

// received records what a receiver gets.
type received struct {
	outcomes []AttemptEvidence
	uses     map[string]map[string]int
	crashes  []Crash
	revision uint64
}

func (r *received) Observed(outcome AttemptEvidence) { r.outcomes = append(r.outcomes, outcome) }
func (r *received) RecordCrash(crash Crash)          { r.crashes = append(r.crashes, crash) }
func (r *received) SetInProgress(vm string, attempts map[string]int) {
	r.uses[vm] = attempts
}
func (r *received) RevisionAnnounced(_ string, revision uint64) { r.revision = revision }

// pair is a sending and a receiving exchange with a shared manual clock.
type pair struct {
	now      time.Duration
	packets  *sentPackets
	from, to *Exchange
	got      *received
}

func newPair() *pair {
	p := &pair{packets: &sentPackets{}, got: &received{uses: make(map[string]map[string]int)}, now: time.Minute}
	options := Options{
		Fleet: "f", VM: "vm-1", Instance: 1, Conn: p.packets,
		IsPrimary: func() bool { return true }, Ready: func() bool { return true },
		Peers: func() []Peer {
			return []Peer{{VM: "vm-2", Address: netip.MustParseAddrPort("10.0.0.2:7000"), IsPrimary: true}}
		},
		AttemptsInProgress: func() map[string]int { return map[string]int{"t1": 2} }, Revision: func() uint64 { return 42 }, Rate: func() float64 { return 10 },
		Receiver: &received{}, Uptime: func() time.Duration { return p.now }, Logger: log.New(io.Discard), Scope: tally.NoopScope,
	}
	p.from = New(options)
	options.VM, options.Instance, options.Receiver = "vm-2", 2, p.got
	p.to = New(options)
	return p
}

func TestEvidenceArrivesOnceAlthoughSentTwice(t *testing.T) {
	p := newPair()
	p.from.Publish(AttemptEvidence{Target: "t1", FailureNats: 3, Load: &dialect.Load{Running: 2, Waiting: 1}})
	p.from.ReportCrash(Crash{Fingerprint: 7, Target: "t1"})
	p.from.send(false)
	p.from.send(true)
	for _, datagram := range p.packets.sent {
		p.to.HandleDatagram(datagram)
	}
	if len(p.got.outcomes) != 1 || p.got.outcomes[0].FailureNats != 3 || p.got.outcomes[0].Load.Running != 2 {
		t.Errorf("outcomes %+v", p.got.outcomes)
	}
	if len(p.got.crashes) != 1 || p.got.uses["vm-1"]["t1"] != 2 || p.got.revision != 42 {
		t.Errorf("crashes %v, uses %v, revision %d", p.got.crashes, p.got.uses, p.got.revision)
	}
}

func TestSecondSendMakesUpForALostDatagram(t *testing.T) {
	p := newPair()
	p.from.Publish(AttemptEvidence{Target: "t1", FailureNats: 3})
	p.from.send(false)
	p.from.Publish(AttemptEvidence{Target: "t2", FailureNats: 1})
	p.from.send(false)
	p.to.HandleDatagram(p.packets.sent[1])
	if len(p.got.outcomes) != 2 {
		t.Errorf("outcomes %+v", p.got.outcomes)
	}
}

func TestAttemptsOfASilentVMAreCleared(t *testing.T) {
	p := newPair()
	p.from.send(true)
	p.to.HandleDatagram(p.packets.sent[0])
	if _, ready, ok := p.to.LastReceived("vm-1"); !ok || !ready {
		t.Error("the sender's datagram was not recorded")
	}
	p.now += silenceTimeout
	p.to.expireSilentSenders()
	if len(p.got.uses["vm-1"]) != 0 {
		t.Errorf("uses %v", p.got.uses)
	}
}

func TestDatagramsOfAnotherFleetAndMalformedOnesAreRefused(t *testing.T) {
	p := newPair()
	p.from.options.Fleet = "another"
	p.from.send(true)
	p.to.HandleDatagram(p.packets.sent[0])
	p.to.HandleDatagram([]byte{0xff, 0x01})
	p.to.HandleDatagram(nil)
	if _, _, ok := p.to.LastReceived("vm-1"); ok || len(p.got.uses) != 0 {
		t.Error("a datagram of another fleet was accepted")
	}
}

func TestLateDatagramDoesNotRestoreOldNumbersInProgress(t *testing.T) {
	p := newPair()
	p.from.send(true)
	p.from.options.AttemptsInProgress = func() map[string]int { return nil }
	p.from.Publish(AttemptEvidence{Target: "t1"})
	p.from.send(false)
	p.to.HandleDatagram(p.packets.sent[1])
	p.to.HandleDatagram(p.packets.sent[0])
	if len(p.got.uses["vm-1"]) != 0 {
		t.Errorf("uses %v", p.got.uses)
	}
}

// TestCallbacksRunWithoutTheLock guards against a deadlock: another component
// calls the exchange while the exchange builds a datagram and calls that
// component, as when a store change and the result of an attempt arrive at the
// same time.
func TestCallbacksRunWithoutTheLock(t *testing.T) {
	p := newPair()
	requestsSend := func() {
		done := make(chan struct{})
		go func() {
			p.from.InProgressChanged()
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(time.Second): // reached only when the lock is held
			t.Error("a call from another component blocks while the exchange runs its callback")
		}
	}
	p.from.options.Revision = func() uint64 { requestsSend(); return 42 }
	p.from.options.Ready = func() bool { requestsSend(); return true }
	p.from.options.Rate = func() float64 { requestsSend(); return 1 }
	p.from.options.AttemptsInProgress = func() map[string]int { requestsSend(); return nil }
	p.from.send(true)
}
