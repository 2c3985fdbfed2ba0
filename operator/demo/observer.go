package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/entry/events"
)

// observer reads the instances' structured logs, narrates them and counts.
type observer struct {
	started time.Time

	mu        sync.Mutex
	narration io.Writer
	ejections map[string]int
}

func newObserver(narration io.Writer) *observer {
	return &observer{started: time.Now(), narration: narration, ejections: make(map[string]int)}
}

// say narrates one line.
func (o *observer) say(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _ = fmt.Fprintf(o.narration, "%6.2fs  %s\n", time.Since(o.started).Seconds(), fmt.Sprintf(format, args...))
}

// vmLog is the log writer of one instance.
type vmLog struct {
	observer *observer
	vm       string
}

// Write takes one line of JSON.
func (l vmLog) Write(line []byte) (int, error) {
	var fields map[string]any
	if json.Unmarshal(line, &fields) != nil {
		return len(line), nil
	}
	number, _ := fields["event"].(float64)
	l.observer.count(int(number), fields)
	l.observer.say("%s  %v%s", l.vm, fields["msg"], details(fields))
	return len(line), nil
}

func (o *observer) count(number int, fields map[string]any) {
	if number != events.TargetEjected.ID {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ejections[fmt.Sprint(fields["target"])]++
}

// falseEjections counts the ejections of targets other than the gray one.
func (o *observer) falseEjections(gray string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	total := 0
	for target, count := range o.ejections {
		if target != gray {
			total += count
		}
	}
	return total
}

// details renders the fields beside the message, in order of name.
func details(fields map[string]any) string {
	var parts []string
	for name, value := range fields {
		if !slices.Contains([]string{"msg", "level", "time"}, name) {
			parts = append(parts, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(parts)
	return " " + strings.Join(parts, " ")
}
