package evidence

import (
	"io"
	"net"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"
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

// announced is what the sending VM has of the published items.
var announced = contract.Announcement{Position: contract.StorePosition{Era: 3, Revision: 42}, StoreAge: 300 * time.Millisecond, RoutesVersion: 9}

// received records what a receiver gets.
type received struct {
	outcomes  []AttemptEvidence
	uses      map[string]map[string]int
	requests  []quarantine.Evidence
	notices   []notice.Report
	announced contract.Announcement
	digest    uint64
}

func (r *received) Observed(_ string, outcome AttemptEvidence) {
	r.outcomes = append(r.outcomes, outcome)
}
func (r *received) MergeRequest(_ string, evidence quarantine.Evidence) {
	r.requests = append(r.requests, evidence)
}
func (r *received) DigestReceived(_ string, digest uint64)     { r.digest = digest }
func (r *received) MergeNotice(_ string, report notice.Report) { r.notices = append(r.notices, report) }
func (r *received) SetInProgress(vm string, attempts map[string]int) {
	r.uses[vm] = attempts
}
func (r *received) Announced(_ string, announcement contract.Announcement) {
	r.announced = announcement
}

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
			return []Peer{{VM: "vm-2", Address: netip.MustParseAddrPort("10.0.0.2:7000"), IsPrimary: true, SameZone: true}}
		},
		AttemptsInProgress: func() map[string]int { return map[string]int{"t1": 2} }, Announcement: func() contract.Announcement { return announced }, Rate: func() float64 { return 10 },
		Requests: func(bool) []quarantine.Evidence { return nil }, RequestsDigest: func() uint64 { return 1 }, CutOffServices: func() []string { return nil }, PathInDoubt: func() bool { return false }, MeanRunTime: func() time.Duration { return 0 }, Notices: func(bool) []notice.Report { return nil }, Receiver: &received{}, Uptime: func() time.Duration { return p.now }, Logger: log.New(io.Discard), Scope: tally.NoopScope,
	}
	p.from = New(options)
	options.VM, options.Instance, options.Receiver = "vm-2", 2, p.got
	p.to = New(options)
	return p
}

func TestEvidenceArrivesOnceAlthoughSentTwice(t *testing.T) {
	p := newPair()
	p.from.Publish(AttemptEvidence{Target: "t1", FailureNats: 3, Load: &dialect.Load{Running: 2, Waiting: 1}})
	p.from.send(false)
	p.from.send(true)
	for _, datagram := range p.packets.sent {
		p.to.HandleDatagram(datagram)
	}
	if len(p.got.outcomes) != 1 || p.got.outcomes[0].FailureNats != 3 || p.got.outcomes[0].Load.Running != 2 {
		t.Errorf("outcomes %+v", p.got.outcomes)
	}
	if p.got.uses["vm-1"]["t1"] != 2 || p.got.announced != announced {
		t.Errorf("uses %v, announcement %v", p.got.uses, p.got.announced)
	}
}

// TestRefusalForLackOfRoomReachesOtherVMs checks that other VMs learn that a target was full.
func TestRefusalForLackOfRoomReachesOtherVMs(t *testing.T) {
	p := newPair()
	want := AttemptEvidence{Target: "t1", RefusedFull: true, Load: &dialect.Load{Running: 4, Waiting: 24}}
	p.from.Publish(want)
	p.from.send(false)
	for _, datagram := range p.packets.sent {
		p.to.HandleDatagram(datagram)
	}
	if !reflect.DeepEqual(p.got.outcomes, []AttemptEvidence{want}) {
		t.Errorf("outcomes %+v", p.got.outcomes)
	}
}

// TestEvidenceAboutRequestsArrivesWithItsAge checks that the times of crashes and of
// a response arrive unchanged on the receiver's own clock.
func TestEvidenceAboutRequestsArrivesWithItsAge(t *testing.T) {
	p := newPair()
	want := []quarantine.Evidence{{
		Fingerprint: 1 << 63, Answered: true, AnsweredAt: 2 * time.Second, Lifted: true, LiftedAt: 3 * time.Second,
		Crashes: []quarantine.Crash{
			{Target: "t1", Incarnation: 1_700_000_000_123, At: 5 * time.Second},
			{Target: "t2", Incarnation: -1, At: 6500 * time.Millisecond, Presumed: true},
		},
	}}
	p.from.options.Requests = func(bool) []quarantine.Evidence { return want }
	p.from.send(false)
	p.to.options.Uptime = func() time.Duration { return p.now + time.Hour }
	p.to.HandleDatagram(p.packets.sent[0])
	if len(p.got.requests) != 1 || len(p.got.requests[0].Crashes) != 2 {
		t.Fatalf("requests %+v", p.got.requests)
	}
	got := p.got.requests[0]
	for i := range got.Crashes {
		got.Crashes[i].At -= time.Hour
	}
	got.AnsweredAt -= time.Hour
	got.LiftedAt -= time.Hour
	if !reflect.DeepEqual(got, want[0]) {
		t.Errorf("got %+v, want %+v", got, want[0])
	}
}

// TestVMThatServesNoCallersTellsWhatItKnows guards against evidence that stays on a
// VM which is not a primary and has nothing else to send.
func TestVMThatServesNoCallersTellsWhatItKnows(t *testing.T) {
	p := newPair()
	p.from.options.IsPrimary = func() bool { return false }
	p.from.options.AttemptsInProgress = func() map[string]int { return nil }
	p.from.send(true)
	if len(p.packets.sent) != 0 {
		t.Fatalf("%d datagrams without news", len(p.packets.sent))
	}
	p.from.options.Requests = func(isHeartbeat bool) []quarantine.Evidence {
		if !isHeartbeat {
			return nil
		}
		return []quarantine.Evidence{{Fingerprint: 7}}
	}
	p.from.send(true)
	if len(p.packets.sent) != 1 {
		t.Errorf("%d datagrams, want 1", len(p.packets.sent))
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

// TestAttemptsOfOthersAreKeptAfterAPauseOfThisVM guards against a VM that sends to targets
// without room after it was paused, since it took the attempts of all others for ended: it could
// not receive their datagrams meanwhile.
func TestAttemptsOfOthersAreKeptAfterAPauseOfThisVM(t *testing.T) {
	p := newPair()
	p.to.expireSilentSenders()
	p.from.send(true)
	p.to.HandleDatagram(p.packets.sent[0])
	p.now += 3 * silenceTimeout // no tick in between
	p.to.expireSilentSenders()
	for range silenceTimeout/heartbeatInterval - 1 {
		p.now += heartbeatInterval
		p.to.expireSilentSenders()
	}
	if p.got.uses["vm-1"]["t1"] != 2 {
		t.Errorf("after a pause: uses %v", p.got.uses)
	}
	p.now += heartbeatInterval
	p.to.expireSilentSenders()
	if len(p.got.uses["vm-1"]) != 0 {
		t.Errorf("after silence without a pause: uses %v", p.got.uses)
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
	p.from.options.Announcement = func() contract.Announcement { requestsSend(); return announced }
	p.from.options.Ready = func() bool { requestsSend(); return true }
	p.from.options.Rate = func() float64 { requestsSend(); return 1 }
	p.from.options.Requests = func(bool) []quarantine.Evidence { requestsSend(); return nil }
	p.from.options.AttemptsInProgress = func() map[string]int { requestsSend(); return nil }
	p.from.send(true)
}

// TestNoticesOfTargetsReachOtherVMs checks that what targets say of themselves arrives
// with the time at which it was said.
func TestNoticesOfTargetsReachOtherVMs(t *testing.T) {
	p := newPair()
	said := []notice.Report{
		{Process: notice.Process{Target: "t1", Incarnation: -5}, HasLimitWord: true, IsLimited: true, RateLimit: 2.5, LimitAt: p.now - 3*time.Second, LeavingAt: p.now},
		{Process: notice.Process{Target: "t2", Incarnation: 7}, LimitAt: p.now, IsLeaving: true, LeavingAt: p.now - time.Second},
	}
	p.from.options.Notices = func(isHeartbeat bool) []notice.Report {
		if isHeartbeat {
			return said
		}
		return nil
	}
	p.from.send(true)
	for _, packet := range p.packets.sent {
		p.to.HandleDatagram(packet)
	}
	if !reflect.DeepEqual(p.got.notices, said) {
		t.Errorf("received %+v, want %+v", p.got.notices, said)
	}
	message := &primroseloomv1.TargetNotice{HasLimitWord: true, Limited: true, RateLimit: -1}
	if got := noticeFromWire(message, p.now); got.IsLimited {
		t.Errorf("a negative limit is taken: %+v", got)
	}
}
