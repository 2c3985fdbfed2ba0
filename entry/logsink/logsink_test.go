package logsink

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is an output whose reader has stopped, so that writes block.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

func TestStoppedReaderDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{release: make(chan struct{})}
		dropped := 0
		sink := New(out, Limits{Queue: 4, InfoPerSecond: 1000, WarningsPerSecond: 1000}, func() { dropped++ })
		ctx, cancel := context.WithCancel(t.Context())
		go sink.Run(ctx)
		began := time.Now()
		for i := range 100 {
			_, _ = fmt.Fprintf(sink, "level=info n=%d\n", i)
		}
		if elapsed := time.Since(began); elapsed != 0 {
			t.Errorf("writing took %v", elapsed)
		}
		if dropped < 90 {
			t.Errorf("%d lines dropped, want at least 90", dropped)
		}
		close(out.release)
		cancel()
	})
}

func TestVolumeIsBoundedAndWarningsComeThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		sink := New(&out, Limits{Queue: 1000, InfoPerSecond: 10, WarningsPerSecond: 5}, func() {})
		for range 1000 {
			_, _ = sink.Write([]byte("level=info msg=plain\n"))
		}
		_, _ = sink.Write([]byte("level=warn msg=serious\n"))
		runInLaterSecond(t, sink)
		text := out.String()
		for _, want := range []string{"msg=serious", "msg=later", "lines=990"} {
			if !strings.Contains(text, want) {
				t.Errorf("the output lacks %q", want)
			}
		}
		if plain := strings.Count(text, "msg=plain"); plain != 10 {
			t.Errorf("%d plain lines, want 10", plain)
		}
	})
}

// runInLaterSecond writes a line in the next second, which reports the dropped ones, and all that
// the sink has queued.
func runInLaterSecond(t *testing.T, sink *Sink) {
	t.Helper()
	time.Sleep(time.Second)
	_, _ = sink.Write([]byte("level=info msg=later\n"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	sink.Run(ctx)
}

// TestFloodOfOneEventDisplacesNoOther guards against logs that lack what explains a failure:
// at a planned stop, one line for each forwarded request used up the limit of all lines.
func TestFloodOfOneEventDisplacesNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		sink := New(&out, Limits{Queue: 1000, InfoPerSecond: 30, WarningsPerSecond: 5, EventPerSecond: 10}, func() {})
		for range 100 {
			_, _ = sink.Write([]byte("level=info msg=forwarded event=5110 vm=a\n"))
		}
		_, _ = sink.Write([]byte("level=info msg=failed event=5102 vm=a\n"))
		runInLaterSecond(t, sink)
		text := out.String()
		for _, want := range []string{"msg=failed", "msg=later", "lines=90", `events="5110:90"`, "event=1006"} {
			if !strings.Contains(text, want) {
				t.Errorf("the output lacks %q:\n%s", want, text)
			}
		}
		if forwarded := strings.Count(text, "msg=forwarded"); forwarded != 10 {
			t.Errorf("%d lines of the flood, want 10", forwarded)
		}
	})
}

// TestLongLinesAreCut guards against callers that use up the memory with lines that quote what they sent.
func TestLongLinesAreCut(t *testing.T) {
	var out bytes.Buffer
	sink := New(&out, DefaultLimits(), func() { t.Error("a line was dropped") })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	short := "event=1 " + strings.Repeat("x", 1000) + "\n"
	_, _ = sink.Write([]byte("event=1 " + strings.Repeat("x", 60<<10) + "\n"))
	_, _ = sink.Write([]byte(short))
	sink.Run(ctx)
	if got := out.String(); !strings.HasSuffix(got, "x...\n"+short) || len(got) != MaxLineBytes+len(short) {
		t.Errorf("%d bytes were written, ending with %q", len(got), got[len(got)-20:])
	}
}
