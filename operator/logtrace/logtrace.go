// Package logtrace joins the log lines of several VMs that tell what became of
// one request.
//
// Logs are lines of key=value pairs. Lines that name the request come first;
// besides them, what the same VMs logged about the targets that it was sent to
// and about the store shortly before shows what the decisions rested on.
package logtrace

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

const (
	// timeLayout is how the daemon writes times.
	timeLayout = "2006/01/02 15:04:05"
	// lookBack is how long before the request's last line other lines still count.
	lookBack = 10 * time.Second
	// maxLineBytes bounds a line; the daemon's are shorter.
	maxLineBytes = 64 << 10
)

// contextEvents are the numbers of the events that tell what a VM believed of
// the store, its routes and its own state.
var contextEvents = []string{"1101", "1102", "1103", "1105", "2101", "2102", "2103", "2105", "2106"}

// Source is the log of one VM.
type Source struct {
	// Name tells whose log it is.
	Name string
	Log  io.Reader
}

// Line is one log line that bears on the request.
type Line struct {
	Source string
	At     time.Time
	Text   string
	// Direct is true when the line names the request itself.
	Direct bool
}

// entry is a line with its fields.
type entry struct {
	Line
	fields map[string]string
}

// Trace returns the lines that bear on a request, by time.
func Trace(id string, sources []Source) ([]Line, error) {
	var entries []entry
	for _, source := range sources {
		read, err := readLog(source)
		if err != nil {
			return nil, fmt.Errorf("read the log %s: %w", source.Name, err)
		}
		entries = append(entries, read...)
	}
	var lines []Line
	direct := directEntries(id, entries)
	targets, last := involved(direct)
	for _, e := range entries {
		switch {
		case e.fields["request"] == id:
			e.Direct = true
		case !relevant(e, direct, targets, last):
			continue
		}
		lines = append(lines, e.Line)
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Source, b.Source)) })
	return lines, nil
}

func directEntries(id string, entries []entry) []entry {
	var direct []entry
	for _, e := range entries {
		if e.fields["request"] == id {
			direct = append(direct, e)
		}
	}
	return direct
}

// involved returns the targets that the request was sent to and the time of its last line.
func involved(direct []entry) (targets map[string]bool, last time.Time) {
	targets = make(map[string]bool)
	for _, e := range direct {
		targets[e.fields["target"]] = true
		for _, tried := range strings.Split(e.fields["tried"], ",") {
			targets[tried] = true
		}
		if e.At.After(last) {
			last = e.At
		}
	}
	delete(targets, "")
	return targets, last
}

// relevant reports whether a line tells what the request's VMs believed when
// they decided.
func relevant(e entry, direct []entry, targets map[string]bool, last time.Time) bool {
	if e.At.After(last) || last.Sub(e.At) > lookBack || e.fields["request"] != "" {
		return false
	}
	if !slices.ContainsFunc(direct, func(d entry) bool { return d.Source == e.Source }) {
		return false
	}
	return targets[e.fields["target"]] || slices.Contains(contextEvents, e.fields["event"])
}

// readLog reads the lines that can be read; others, such as a program's own
// last words, are kept out.
func readLog(source Source) ([]entry, error) {
	var entries []entry
	scanner := bufio.NewScanner(source.Log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		fields, err := readFields(scanner.Text())
		if err != nil {
			continue
		}
		at, err := time.Parse(timeLayout, fields["time"])
		if err != nil {
			continue
		}
		entries = append(entries, entry{Line: Line{Source: source.Name, At: at, Text: scanner.Text()}, fields: fields})
	}
	return entries, scanner.Err()
}

// errNoFields means that a line holds no pairs.
var errNoFields = errors.New("no fields")

func readFields(line string) (map[string]string, error) {
	decoder := logfmt.NewDecoder(strings.NewReader(line))
	fields := make(map[string]string)
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	if decoder.Err() == nil && len(fields) == 0 {
		return nil, errNoFields
	}
	return fields, decoder.Err()
}
