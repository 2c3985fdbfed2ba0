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

// observer reads the structured logs of the VMs, writes them as progress lines and
// counts ejections.
type observer struct {
	started time.Time

	mu        sync.Mutex
	progress  io.Writer
	ejections map[string]int
}

func newObserver(progress io.Writer) *observer {
	return &observer{started: time.Now(), progress: progress, ejections: make(map[string]int)}
}

// logf writes one progress line with the time since the start.
func (o *observer) logf(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _ = fmt.Fprintf(o.progress, "%6.2fs  %s\n", time.Since(o.started).Seconds(), fmt.Sprintf(format, args...))
}

// vmLog is the log writer of one VM.
type vmLog struct {
	observer *observer
	vm       string
}

// Write handles one log line in JSON.
func (l vmLog) Write(line []byte) (int, error) {
	var fields map[string]any
	if json.Unmarshal(line, &fields) != nil {
		return len(line), nil
	}
	number, _ := fields["event"].(float64)
	l.observer.countEvent(int(number), fields)
	l.observer.logf("%s  %v%s", l.vm, fields["msg"], details(fields))
	return len(line), nil
}

func (o *observer) countEvent(number int, fields map[string]any) {
	if number != events.TargetEjected.ID {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ejections[fmt.Sprint(fields["target"])]++
}

// falseEjections returns the number of ejections of targets other than the gray one.
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

// details formats the fields other than message, level and time, sorted by name.
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
