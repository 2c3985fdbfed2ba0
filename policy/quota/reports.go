package quota

import (
	"math"
	"time"
)

const (
	// MaxReports is the number of customers in a datagram; 16 bytes each.
	MaxReports = 32
	// maxVisits bounds the customers that are looked at for a datagram.
	maxVisits = 1024
	// reportedShare is the part of an even share of the limit from which a VM's use is
	// reported. VMs with less use admit a tenth of the limit together at most.
	reportedShare = 0.1
	// restartTime is the time without reports of a customer after which its count begins
	// anew, so that VMs that have forgotten the old count do not charge it.
	restartTime = 30 * time.Second
)

// ownCount is the count that this VM reports of one customer.
type ownCount struct {
	// admitted is the count to report, reported the count that was reported last.
	admitted, reported uint64
	// reporting is true while the use is reported; place is the place in Table.reporting.
	reporting  bool
	place      int
	reportedAt time.Duration
}

// unreported returns the requests since the latest report.
func (c *ownCount) unreported() uint64 { return c.admitted - c.reported }

// reportedRate returns the rate of a VM's own requests from which they are reported.
func (t *Table) reportedRate(a *account) float64 {
	return reportedShare * a.aim.Rate / float64(t.serving)
}

// countOwn counts an admitted request for the reports.
func (t *Table) countOwn(a *account, now time.Duration) {
	own := &a.own
	if own.reporting {
		own.admitted++
		return
	}
	if a.rate < t.reportedRate(a) {
		return
	}
	if now-own.reportedAt >= restartTime {
		own.admitted, own.reported = 0, 0
	}
	// The requests of the last moments, of which no report told.
	own.admitted += uint64(max(math.Round(a.rate*rateTime.Seconds()), 1))
	own.reporting, own.place, own.reportedAt = true, len(t.reporting), now
	t.reporting = append(t.reporting, a)
}

// Reports returns what the next datagram tells: at most MaxReports customers, in rotation;
// all of them, or only those that are close to their limit, since the others' counts may come
// a little later without harm.
func (t *Table) Reports(now time.Duration, all bool) []Report {
	if t.serving <= 1 {
		return nil
	}
	var reports []Report
	for visits := min(len(t.reporting), maxVisits); visits > 0 && len(reports) < MaxReports; visits-- {
		if t.nextReport >= len(t.reporting) {
			t.nextReport = 0
		}
		a := t.reporting[t.nextReport]
		a.advance(now, t.silent, t.serving)
		if a.own.unreported() == 0 && a.rate < t.reportedRate(a) {
			t.stopReporting(t.nextReport)
			continue
		}
		t.nextReport++
		if !all && !a.isClose() {
			continue
		}
		a.own.reported, a.own.reportedAt = a.own.admitted, now
		reports = append(reports, Report{Customer: a.customer, Admitted: a.own.admitted})
	}
	return reports
}

// stopReporting removes the account at a place from those whose use is reported.
func (t *Table) stopReporting(place int) {
	last := len(t.reporting) - 1
	t.reporting[place].own.reporting = false
	t.reporting[place] = t.reporting[last]
	t.reporting[place].own.place = place
	t.reporting[last] = nil
	t.reporting = t.reporting[:last]
}
