package soak

import (
	"slices"
	"time"
)

// rowSlack is the time after which a row that a daemon has begun to serve counts as read to its end. A
// request that crosses the close of its connection is not read.
const rowSlack = scheduleSlack

// rowRecord is a row of requests on one connection, and what came back.
type rowRecord struct {
	vm int
	// requests are the identifiers, in the order in which they were sent; the first answered ones
	// have a response.
	requests []string
	answered int
	// sentAt is when the last byte was sent, endedAt when the last response came or the connection
	// ended.
	sentAt, endedAt time.Time
}

func (c *checker) recordRow(row rowRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rows = append(c.rows, row)
}

// checkRows checks that a planned stop closes no connection with requests in a row that were read
// and have no response.
func (c *checker) checkRows() {
	for _, row := range c.rows {
		if row.answered == len(row.requests) || !c.wasRead(row) || !c.daemonUndisturbed(row.vm, row.sentAt, row.endedAt) {
			continue
		}
		stops := c.stopsAt(row.vm, row.endedAt)
		if len(stops) == 0 || c.mayEndRow(row, stops) {
			continue
		}
		c.addViolation(PromisePlannedStop, row.endedAt, "%d of %d requests in a row through VM %d, of which %s is the first, have no response: the connection ended %v after they were sent, %v after the SIGTERM",
			len(row.requests)-row.answered, len(row.requests), row.vm, row.requests[0], row.endedAt.Sub(row.sentAt).Round(time.Millisecond), row.endedAt.Sub(stops[0].from).Round(time.Millisecond))
	}
}

// wasRead reports whether the daemon has read the whole row: it began to, and the last byte was sent
// long enough before the connection ended.
func (c *checker) wasRead(row rowRecord) bool {
	return row.endedAt.Sub(row.sentAt) > rowSlack && (row.answered > 0 || len(c.runs[row.requests[0]]) > 0)
}

// mayEndRow reports whether something else than a daemon's mistake can have ended the connection: a
// target that was disturbed, or the end of the grace period.
func (c *checker) mayEndRow(row rowRecord, stops []interval) bool {
	next := row.requests[row.answered]
	for _, r := range c.runs[next] {
		if r.targetFaulty || r.linkHarmed {
			return true
		}
	}
	return slices.ContainsFunc(c.executions[next], func(e execution) bool {
		return !e.undisturbed || e.senderLeft && slices.ContainsFunc(stops, func(stop interval) bool { return mayBeCut(stop, row.sentAt, e.endedAt) })
	})
}
