package crashes

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// Options configures a Tracker.
type Options struct {
	Network contract.Network
	// ServedSince reports whether a target has sent a complete response to any VM
	// since the given uptime.
	ServedSince func(target string, since time.Duration) bool
	// AnsweredSince reports whether this VM has got a complete response of any target
	// since the given uptime.
	AnsweredSince func(since time.Duration) bool
	// Relays reports whether this VM passes what it learns on in its heartbeats.
	Relays func() bool
	// Reconcile tells another VM all that this one knows and returns what that one knows; nil
	// for never.
	Reconcile func(ctx context.Context, vm string, all []quarantine.Evidence) (Reconciled, error)
	// Pull returns another VM's digest, and its evidence unless the digest is the given one; it
	// must be set with Reconcile.
	Pull func(ctx context.Context, vm string, digest uint64) (Reconciled, error)
	// Peers returns the other VMs whose heartbeats this VM gets; it must be set with Reconcile.
	Peers  func() []Peer
	Uptime func() time.Duration
	Logger *log.Logger
	Scope  tally.Scope
}

// Tracker counts the crashes by request, from the reports of this VM and the others.
type Tracker struct {
	options Options
	checker *checker

	mu      sync.Mutex
	table   *quarantine.Table
	outbox  outbox
	changed func()

	reconciler reconciler
}

// New returns a tracker without suspects.
func New(options Options) *Tracker {
	options.Scope = options.Scope.SubScope("crashes")
	t := &Tracker{options: options, table: quarantine.NewTable(), outbox: newOutbox(), reconciler: newReconciler()}
	t.checker = newChecker(t)
	return t
}

// UseNotifier sets the function that is called when there is new evidence for the
// other VMs; it must be called before the first request.
func (t *Tracker) UseNotifier(changed func()) { t.changed = changed }

// Refused returns how much longer a request must not run, zero when it may run, and the
// fingerprint of the form that is quarantined.
func (t *Tracker) Refused(request quarantine.Identity) (remaining time.Duration, as quarantine.Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Refused(request, t.options.Uptime())
}

// Suspected reports whether a target is known to have crashed on the request.
func (t *Tracker) Suspected(request quarantine.Identity) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Suspected(request, t.options.Uptime())
}

// Answered records that a target sent a complete response, which shows that the
// request does not crash each target that runs it.
func (t *Tracker) Answered(request quarantine.Identity) {
	t.mu.Lock()
	cleared := t.table.RecordResponse(request, t.options.Uptime())
	for _, fingerprint := range cleared {
		t.outbox.push(fingerprint)
	}
	t.mu.Unlock()
	if len(cleared) == 0 {
		return
	}
	for _, fingerprint := range cleared {
		t.logCleared(fingerprint, "")
	}
	t.changed()
}

// AttemptLost records an attempt without a complete response and finds out in the
// background whether its target crashed.
func (t *Tracker) AttemptLost(lost LostAttempt) { t.checker.add(lost) }

// recordCrash records a crash that this VM found.
func (t *Tracker) recordCrash(request quarantine.Identity, crash quarantine.Crash) {
	t.mu.Lock()
	recorded := t.table.RecordCrash(request, "", crash, t.options.Uptime())
	t.outbox.push(request.Exact())
	t.mu.Unlock()
	t.report(recorded, "")
	t.changed()
}

// MergeRequest applies what another VM knows of a request.
func (t *Tracker) MergeRequest(vm string, evidence quarantine.Evidence) {
	t.mu.Lock()
	recorded := t.table.Merge(evidence, t.options.Uptime())
	if len(recorded) > 0 && t.options.Relays() {
		t.outbox.relay(evidence.Fingerprint)
	}
	t.mu.Unlock()
	t.report(recorded, vm)
}

// NextEvidence returns the evidence for the next datagram: what is new and, in a heartbeat, a
// part of all that is known unless all VMs know it.
func (t *Tracker) NextEvidence(isHeartbeat bool) []quarantine.Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.table.Len() == 0 {
		t.outbox.clear()
		return nil
	}
	now := t.options.Uptime()
	chosen := t.outbox.takeNew(isHeartbeat, func(fingerprint quarantine.Fingerprint) (quarantine.Evidence, bool) {
		return t.table.EvidenceOf(fingerprint, now)
	})
	if isHeartbeat && t.outbox.repeatIsDue(now) && !t.reconciler.allAgree(t.table.Digest(now), now) {
		chosen = t.outbox.repeat(chosen, t.table.Evidence(now), now)
	}
	return chosen
}

// QuarantineList returns the requests that are refused or suspected.
func (t *Tracker) QuarantineList() []quarantine.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.List(t.options.Uptime())
}

// QuarantineLift lets a request run again on all VMs and reports whether it was
// refused or suspected.
func (t *Tracker) QuarantineLift(fingerprint quarantine.Fingerprint) bool {
	t.mu.Lock()
	lifted := t.table.Lift(fingerprint, t.options.Uptime())
	t.outbox.push(fingerprint)
	t.mu.Unlock()
	t.changed()
	if lifted {
		events.QuarantineLifted.Log(t.options.Logger, "fingerprint", fingerprint)
	}
	return lifted
}

// report logs and counts what new evidence changed.
func (t *Tracker) report(recorded []quarantine.Recorded, reporter string) {
	for _, form := range recorded {
		t.reportForm(form, reporter)
	}
	if len(recorded) > 0 {
		t.updateGauges()
	}
}

// reportForm logs and counts what new evidence changed for one form of a request. Crashes
// are logged for the exact form only.
func (t *Tracker) reportForm(form quarantine.Recorded, reporter string) {
	crash := form.Crash
	if form.Change.Recorded && crash.LeftOut.IsExact() {
		t.options.Scope.Counter("recorded").Inc(1)
		events.CrashRecorded.Log(t.options.Logger, "fingerprint", form.Fingerprint, "target", crash.Target, "presumed", crash.Presumed, "survived", crash.Survived, "reporter", reporter)
	}
	if form.Change.Quarantined {
		t.options.Scope.Counter("quarantined").Inc(1)
		events.FingerprintRefused.Log(t.options.Logger, "fingerprint", form.Fingerprint, "last_target", crash.Target,
			"any_caller", crash.LeftOut.AnyCaller(), "any_query", crash.LeftOut.AnyQuery(), "reporter", reporter)
	}
	if form.Change.Cleared {
		t.logCleared(form.Fingerprint, reporter)
	}
}

// logCleared logs and counts that a response cleared a suspect.
func (t *Tracker) logCleared(fingerprint quarantine.Fingerprint, reporter string) {
	t.options.Scope.Counter("cleared").Inc(1)
	events.SuspectCleared.Log(t.options.Logger, "fingerprint", fingerprint, "reporter", reporter)
}

func (t *Tracker) updateGauges() {
	t.mu.Lock()
	known := t.table.Len()
	t.mu.Unlock()
	t.options.Scope.Gauge("suspects").Update(float64(known))
}
