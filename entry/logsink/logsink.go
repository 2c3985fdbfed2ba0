// Package logsink writes log lines in the background, so that logging never
// blocks.
//
// Lines wait in a bounded queue for a goroutine that writes them. A line is
// dropped and counted when the queue is full or a limit of lines a second is
// reached; the counts by event are written as a line of its own in a later second.
// Warnings and errors have a separate limit, and one event gets a part of its limit
// only, so that a flood of lines of one kind does not displace the others. Long lines are cut.
package logsink

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
)

// MaxLineBytes is the maximum length of a line, with its end: callers choose the length of what lines quote, such
// as paths.
const MaxLineBytes = 4 << 10

// cutMark ends a line that was cut.
const cutMark = "...\n"

// Limits bounds what a Sink accepts.
type Limits struct {
	// Queue is the maximum number of lines that wait to be written.
	Queue int
	// InfoPerSecond limits the lines a second below level warning, WarningsPerSecond
	// those of level warning and above.
	InfoPerSecond, WarningsPerSecond int
	// EventPerSecond limits the lines a second of one event; zero means no limit of its own.
	EventPerSecond int
}

// DefaultLimits returns limits at which logging uses little of a small VM.
func DefaultLimits() Limits {
	return Limits{Queue: 1024, InfoPerSecond: 150, WarningsPerSecond: 100, EventPerSecond: 60}
}

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
	// eventCounts counts the lines of each event in this second, droppedCounts those that
	// were dropped and not reported yet. Lines without an event have an empty key.
	eventCounts, droppedCounts map[string]int
}

// New returns a sink; nothing is written before Run.
func New(out io.Writer, limits Limits, dropped func()) *Sink {
	return &Sink{
		limits: limits, out: out, lines: make(chan []byte, limits.Queue), now: time.Now, onDrop: dropped,
		eventCounts: make(map[string]int), droppedCounts: make(map[string]int),
	}
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startSecond(s.now().Unix())
	if !s.withinAllowance(line) || !s.enqueue(shorten(line)) {
		s.droppedCounts[eventOf(line)]++
		s.onDrop()
	}
	return len(line), nil
}

// shorten returns a copy of a line of at most MaxLineBytes, which then ends with cutMark.
func shorten(line []byte) []byte {
	if len(line) <= MaxLineBytes {
		return bytes.Clone(line)
	}
	return append(bytes.Clone(line[:MaxLineBytes-len(cutMark)]), cutMark...)
}

// startSecond reports the dropped lines and resets the counts when a new second
// has begun. The caller holds the lock.
func (s *Sink) startSecond(second int64) {
	if second == s.second {
		return
	}
	if len(s.droppedCounts) > 0 && s.enqueue(s.droppedLine()) {
		clear(s.droppedCounts)
	}
	s.second, s.infoCount, s.warningCount = second, 0, 0
	clear(s.eventCounts)
}

// droppedLine returns the line that reports the dropped lines. The caller holds the lock.
func (s *Sink) droppedLine() []byte {
	lines := 0
	var byEvent []string
	for _, event := range slices.Sorted(maps.Keys(s.droppedCounts)) {
		lines += s.droppedCounts[event]
		byEvent = append(byEvent, fmt.Sprintf("%s:%d", event, s.droppedCounts[event]))
	}
	dropped := events.LogLinesDropped
	return fmt.Appendf(nil, "level=warn msg=%q event=%d lines=%d events=%q\n", dropped.Message, dropped.ID, lines, strings.Join(byEvent, " "))
}

// eventOf returns the number of a line's event as text; empty when it has none.
func eventOf(line []byte) string {
	_, rest, found := bytes.Cut(line, []byte(" event="))
	if !found {
		return ""
	}
	end := bytes.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		rest = rest[:end]
	}
	return string(rest)
}

// withinAllowance counts a line against the limits of its event and of its level. The
// caller holds the lock.
func (s *Sink) withinAllowance(line []byte) bool {
	if event := eventOf(line); event != "" && s.limits.EventPerSecond > 0 {
		s.eventCounts[event]++
		if s.eventCounts[event] > s.limits.EventPerSecond {
			return false
		}
	}
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
