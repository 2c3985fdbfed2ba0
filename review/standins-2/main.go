package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name.
var cases = map[string]func(c *testcase) error{}

// testcase is one run of a case.
type testcase struct {
	record  *record
	dir     string
	trouble bool
	// faults is the number of times that the rule was broken.
	faults int
}

// fault records that the rule was broken.
func (c *testcase) fault(format string, arguments ...any) {
	c.faults++
	c.record.say("BROKEN: "+format, arguments...)
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// line writes one line with the time since the begin.
func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", arguments...)
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, arguments ...any) {
	r.line(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standins-2 CASE RECORD")
		return notRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	defer record.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	c := &testcase{record: record, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if err := cases[os.Args[1]](c); err != nil {
		record.say("the case could not run: %v", err)
		return notRun
	}
	if c.faults > 0 {
		record.say("the rule was broken %d times", c.faults)
		return broken
	}
	record.say("the rule held")
	return held
}
