// Package logsink writes log lines in the background, so that logging never
// blocks.
//
// Lines wait in a bounded queue for a goroutine that writes them. A line is
// dropped and counted when the queue is full or the limit of lines a second is
// reached; the count is written as a line of its own in a later second. Warnings
// and errors have a separate limit, so that a flood of other lines does not
// displace them.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits bounds what a Sink accepts.
type Limits struct {
	// Queue is the maximum number of lines that wait to be written.
	Queue int
	// InfoPerSecond limits the lines a second below level warning, WarningsPerSecond
	// those of level warning and above.
	InfoPerSecond, WarningsPerSecond int
}

// DefaultLimits returns limits at which logging uses little of a small VM.
func DefaultLimits() Limits { return Limits{Queue: 1024, InfoPerSecond: 150, WarningsPerSecond: 100} }

// Sink is an io.Writer; each Write is one complete log line.
type Sink struct {
	limits Limits
	out    io.Writer
	lines  chan []byte
	now    func() time.Time
	// onDrop is called for each line that is dropped.
	onDrop func()

	mu                      sync.Mutex
	second                  int64
	infoCount, warningCount int
	droppedCount            int
}

// New returns a sink; nothing is written before Run.
func New(out io.Writer, limits Limits, dropped func()) *Sink {
	return &Sink{limits: limits, out: out, lines: make(chan []byte, limits.Queue), now: time.Now, onDrop: dropped}
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startSecond(s.now().Unix())
	if !s.withinAllowance(line) || !s.enqueue(bytes.Clone(line)) {
		s.droppedCount++
		s.onDrop()
	}
	return len(line), nil
}

// startSecond reports the dropped lines and resets the counts when a new second
// has begun. The caller holds the lock.
func (s *Sink) startSecond(second int64) {
	if second == s.second {
		return
	}
	if s.droppedCount > 0 && s.enqueue(fmt.Appendf(nil, "level=warn msg=\"log lines dropped\" lines=%d\n", s.droppedCount)) {
		s.droppedCount = 0
	}
	s.second, s.infoCount, s.warningCount = second, 0, 0
}

// withinAllowance counts a line against the limit of its level. The caller holds the lock.
func (s *Sink) withinAllowance(line []byte) bool {
	if bytes.Contains(line, []byte("level=warn")) || bytes.Contains(line, []byte("level=error")) {
		s.warningCount++
		return s.warningCount <= s.limits.WarningsPerSecond
	}
	s.infoCount++
	return s.infoCount <= s.limits.InfoPerSecond
}

func (s *Sink) enqueue(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// Run writes lines until the context ends, then those that are still queued.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.lines:
			_, _ = s.out.Write(line) // a failure of the log itself cannot be logged
		case <-ctx.Done():
			s.flush()
			return
		}
	}
}

// flush writes the lines that are still queued.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			_, _ = s.out.Write(line)
		default:
			return
		}
	}
}
