// Package logtrace collects the log lines of several VMs that show what happened
// to one request.
//
// Logs are lines of key=value pairs. Besides the lines that name the request, it
// collects what the same VMs logged shortly before about the targets that the
// request was sent to and about the store: these show what the decisions were
// based on. It also collects what these VMs logged of crashes by the same request,
// recognized by its fingerprint, sent earlier or through other VMs.
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
	// timeLayout is the format of the times in the daemon's log.
	timeLayout = "2006/01/02 15:04:05"
	// lookBack is how long before the request's last line other lines are included.
	lookBack = 10 * time.Second
	// maxLineBytes limits the length of a line; the daemon's lines are shorter.
	maxLineBytes = 64 << 10
)

// contextEvents are the numbers of the events that show a VM's view of the store,
// its routes and its own state.
var contextEvents = []string{"1101", "1102", "1103", "1105", "2101", "2102", "2103", "2105", "2106"}

// Source is the log of one VM.
type Source struct {
	// Name identifies the log in the result.
	Name string
	Log  io.Reader
}

// Line is one log line related to the request.
type Line struct {
	Source string
	At     time.Time
	Text   string
	// Direct is true when the line names the request itself.
	Direct bool
}

// entry is a line with its parsed fields.
type entry struct {
	Line
	fields map[string]string
}

// Trace returns the lines related to a request, in order of time.
func Trace(id string, sources []Source) ([]Line, error) {
	var entries []entry
	for _, source := range sources {
		read, err := readLog(source)
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", source.Name, err)
		}
		entries = append(entries, read...)
	}
	var lines []Line
	direct := directEntries(id, entries)
	targets, last := involvedTargets(direct)
	fingerprints := fingerprintsOf(direct)
	for _, e := range entries {
		switch {
		case e.fields["request"] == id:
			e.Direct = true
		case isCrashHistory(e, direct, fingerprints, last):
		case !isContext(e, direct, targets, last):
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

// involvedTargets returns the targets that the request was sent to and the time of
// the request's last line.
func involvedTargets(direct []entry) (targets map[string]bool, last time.Time) {
	targets = make(map[string]bool)
	for _, e := range direct {
		targets[e.fields["target"]] = true
		for _, attempted := range strings.Split(e.fields["tried"], ",") {
			targets[attempted] = true
		}
		if e.At.After(last) {
			last = e.At
		}
	}
	delete(targets, "")
	return targets, last
}

// fingerprintsOf returns the fingerprints that the lines of a request name.
func fingerprintsOf(direct []entry) map[string]bool {
	const notHashed = "0" // the request ended before its body was read
	fingerprints := make(map[string]bool)
	for _, e := range direct {
		fingerprints[e.fields["fingerprint"]] = true
		fingerprints[e.fields["refused_as"]] = true
	}
	delete(fingerprints, "")
	delete(fingerprints, notHashed)
	return fingerprints
}

// isCrashHistory reports whether a line tells of crashes by the same request on a VM
// that handled it. They may be much older than the request; those of the request
// itself are found a moment after its end.
func isCrashHistory(e entry, direct []entry, fingerprints map[string]bool, last time.Time) bool {
	return fingerprints[e.fields["fingerprint"]] && e.fields["request"] == "" && e.At.Sub(last) <= lookBack && loggedBySameVM(e, direct)
}

// loggedBySameVM reports whether a line comes from a VM that handled the request.
func loggedBySameVM(e entry, direct []entry) bool {
	return slices.ContainsFunc(direct, func(d entry) bool { return d.Source == e.Source })
}

// isContext reports whether a line shows what the VMs that handled the request
// knew when they decided.
func isContext(e entry, direct []entry, targets map[string]bool, last time.Time) bool {
	if e.At.After(last) || last.Sub(e.At) > lookBack || e.fields["request"] != "" {
		return false
	}
	if !loggedBySameVM(e, direct) {
		return false
	}
	return targets[e.fields["target"]] || slices.Contains(contextEvents, e.fields["event"])
}

// readLog returns the lines that can be parsed and skips others, such as the panic
// message of a crashed process.
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

// errNoFields means that a line holds no key=value pairs.
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
