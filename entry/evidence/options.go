package evidence

import (
	"net"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/policy/notice"
	"github.com/primroseloom/primroseloom/policy/quarantine"
	"github.com/primroseloom/primroseloom/policy/quota"
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
	// RefusedFull is true when the target refused the attempt for lack of room; Load is then
	// what it held.
	RefusedFull bool
}

// isBad reports whether the outcome counts against its target.
func (e AttemptEvidence) isBad() bool { return e.FailureNats > 0 || e.SlowNats > 0 || e.ShedNats > 0 }

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
	// KeysNotCurrent reports whether this VM cannot show that its routes are current enough to
	// serve requests with keys; nil means that it never has to.
	KeysNotCurrent func() bool
	// Requests returns what the next datagram tells of requests that may crash targets:
	// what is new and, in a heartbeat, a part of what was told before.
	Requests func(isHeartbeat bool) []quarantine.Evidence
	// RequestsDigest returns the digest of all that this VM knows of such requests.
	RequestsDigest func() uint64
	// Notices returns what the next datagram tells of what targets say of themselves: what
	// has changed lately and, in a heartbeat, a part of all.
	Notices func(isHeartbeat bool) []notice.Report
	// Admissions returns what the next datagram to all zones tells of the requests of
	// customers; it may be nil.
	Admissions func(isHeartbeat bool) []quota.Report
	// AdmissionsReceived applies what a datagram tells of them, also when that is nothing; it
	// may be nil.
	AdmissionsReceived func(vm string, instance uint64, reports []quota.Report)
	Receiver           Receiver
	Uptime             func() time.Duration
	Logger             *log.Logger
	Scope              tally.Scope
}
