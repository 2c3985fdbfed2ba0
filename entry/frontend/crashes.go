package frontend

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/quarantine"
)

// crashesToRefuse is the number of targets that a request must have taken down
// before it is refused; failing targets close connections as well.
const crashesToRefuse = 3

// crashes knows the requests that crash their targets, by what this VM and the
// others saw.
type crashes struct {
	logger *log.Logger
	now    func() time.Duration
	tell   func(evidence.Crash)

	mu    sync.Mutex
	table *quarantine.Table
}

func newCrashes(logger *log.Logger, now func() time.Duration) *crashes {
	return &crashes{logger: logger, now: now, table: quarantine.NewTableWithThreshold(crashesToRefuse)}
}

// Refuses reports whether a request may not run any more.
func (c *crashes) Refuses(fingerprint uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	return c.table.Admit(quarantine.Fingerprint(fingerprint), now, now).Action == quarantine.ActionRefuse
}

// ReportCrash notes a crash and tells the other VMs.
func (c *crashes) ReportCrash(fingerprint uint64, target string) {
	crash := evidence.Crash{Fingerprint: fingerprint, Target: target}
	c.Crashed(crash)
	c.tell(crash)
}

// ReportResponse clears a request of suspicion and tells the other VMs.
func (c *crashes) ReportResponse(fingerprint uint64) {
	c.mu.Lock()
	cleared := c.table.RecordResponse(quarantine.Fingerprint(fingerprint))
	c.mu.Unlock()
	if cleared {
		c.tell(evidence.Crash{Fingerprint: fingerprint, Answered: true})
	}
}

// Crashed takes over a report, of this VM or another one.
func (c *crashes) Crashed(crash evidence.Crash) {
	c.mu.Lock()
	if crash.Answered {
		c.table.RecordResponse(quarantine.Fingerprint(crash.Fingerprint))
		c.mu.Unlock()
		return
	}
	judged := c.table.RecordCrash(quarantine.Fingerprint(crash.Fingerprint), "", crash.Target, c.now())
	c.mu.Unlock()
	if judged {
		events.FingerprintRefused.Log(c.logger, "fingerprint", crash.Fingerprint, "last_target", crash.Target, "crashes", crashesToRefuse)
	}
}
