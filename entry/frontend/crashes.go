package frontend

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// crashesToRefuse is the number of targets that a request must have crashed
// before it is refused. One is not enough, because a failing target also closes
// connections.
const crashesToRefuse = 3

// crashTracker tracks the requests that crash their targets, from the reports of
// this VM and the others.
type crashTracker struct {
	logger  *log.Logger
	scope   tally.Scope
	now     func() time.Duration
	publish func(evidence.Crash)

	mu    sync.Mutex
	table *quarantine.Table
}

func newCrashTracker(logger *log.Logger, scope tally.Scope, now func() time.Duration) *crashTracker {
	return &crashTracker{logger: logger, scope: scope.SubScope("crashes"), now: now, table: quarantine.NewTableWithThreshold(crashesToRefuse)}
}

// Refuses reports whether a request must not run any more.
func (c *crashTracker) Refuses(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return c.table.Admit(quarantine.Fingerprint(fingerprint), now, now).Action == quarantine.ActionRefuse
}

// ReportCrash records a crash and reports it to the other VMs.
func (c *crashTracker) ReportCrash(fingerprint uint64, target string) {
	crash := evidence.Crash{Fingerprint: fingerprint, Target: target}
	c.RecordCrash(crash)
	c.publish(crash)
}

// ReportResponse clears a request of suspicion and reports that to the other VMs.
func (c *crashTracker) ReportResponse(fingerprint uint64) {
	c.mu.Lock()
	cleared := c.table.RecordResponse(quarantine.Fingerprint(fingerprint))
	c.mu.Unlock()
	if cleared {
		c.logCleared(fingerprint, "")
		c.publish(evidence.Crash{Fingerprint: fingerprint, Answered: true})
	}
}

// RecordCrash applies a report of this VM or another one.
func (c *crashTracker) RecordCrash(crash evidence.Crash) {
	c.mu.Lock()
	if crash.Answered {
		cleared := c.table.RecordResponse(quarantine.Fingerprint(crash.Fingerprint))
		c.mu.Unlock()
		if cleared {
			c.logCleared(crash.Fingerprint, crash.Reporter)
		}
		return
	}
	quarantined := c.table.RecordCrash(quarantine.Fingerprint(crash.Fingerprint), "", crash.Target, c.now())
	known := c.table.Len()
	c.mu.Unlock()
	c.scope.Counter("recorded").Inc(1)
	c.scope.Gauge("suspects").Update(float64(known))
	events.CrashRecorded.Log(c.logger, "fingerprint", crash.Fingerprint, "target", crash.Target, "reporter", crash.Reporter)
	if quarantined {
		events.FingerprintRefused.Log(c.logger, "fingerprint", crash.Fingerprint, "last_target", crash.Target, "crashes", crashesToRefuse)
	}
}

// logCleared logs and counts that a response cleared a suspect.
func (c *crashTracker) logCleared(fingerprint uint64, reporter string) {
	c.scope.Counter("cleared").Inc(1)
	events.SuspectCleared.Log(c.logger, "fingerprint", fingerprint, "reporter", reporter)
}
