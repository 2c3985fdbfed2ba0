// Package logsink passes log lines on without ever holding up their writers.
//
// Lines wait in a bounded queue for a goroutine that writes them. A line that
// finds the queue full, or the second's allowance used up, is left out and
// counted; each second's count is written as a line of its own. Warnings and
// errors have an allowance apart, so that a flood of plain lines does not hide
// them.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits bound what a sink takes.
type Limits struct {
	// Queue is the number of lines that wait to be written.
	Queue int
	// InfoPerSecond and WarningsPerSecond are the lines a second of the levels below warning, and from it on.
	InfoPerSecond, WarningsPerSecond int
}

// DefaultLimits return bounds at which logging costs little of a small VM.
func DefaultLimits() Limits { return Limits{Queue: 1024, InfoPerSecond: 150, WarningsPerSecond: 100} }

// Sink is an io.Writer for whole log lines.
type Sink struct {
	limits Limits
	out    io.Writer
	lines  chan []byte
	now    func() time.Time
	// dropped is told of each line that is left out.
	dropped func()

	mu             sync.Mutex
	second         int64
	plain, serious int
	leftOut        int
}

// New returns a sink; nothing is written before Run.
func New(out io.Writer, limits Limits, dropped func()) *Sink {
	return &Sink{limits: limits, out: out, lines: make(chan []byte, limits.Queue), now: time.Now, dropped: dropped}
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(s.now().Unix())
	if !s.allowed(line) || !s.put(bytes.Clone(line)) {
		s.leftOut++
		s.dropped()
	}
	return len(line), nil
}

// turn begins a new second; the lock is held.
func (s *Sink) turn(second int64) {
	if second == s.second {
		return
	}
	if s.leftOut > 0 && s.put(fmt.Appendf(nil, "level=warn msg=\"log lines left out\" lines=%d\n", s.leftOut)) {
		s.leftOut = 0
	}
	s.second, s.plain, s.serious = second, 0, 0
}

// allowed counts a line against its allowance; the lock is held.
func (s *Sink) allowed(line []byte) bool {
	if bytes.Contains(line, []byte("level=warn")) || bytes.Contains(line, []byte("level=error")) {
		s.serious++
		return s.serious <= s.limits.WarningsPerSecond
	}
	s.plain++
	return s.plain <= s.limits.InfoPerSecond
}

func (s *Sink) put(line []byte) bool {
	select {
	case s.lines <- line:
		return true
	default:
		return false
	}
}

// Run writes lines until the context ends, then what still waits.
func (s *Sink) Run(ctx context.Context) {
	for {
		select {
		case line := <-s.lines:
			_, _ = s.out.Write(line) // a log that cannot be written has nowhere to say so
		case <-ctx.Done():
			s.flush()
			return
		}
	}
}

// flush writes the lines that wait.
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
