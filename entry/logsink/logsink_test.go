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

// stuck is an output whose reader has stopped.
type stuck struct{ blocked chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.blocked
	return len(line), nil
}

func TestStoppedReaderHoldsUpNoWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuck{blocked: make(chan struct{})}
		dropped := 0
		sink := New(out, Limits{Queue: 4, InfoPerSecond: 1000, WarningsPerSecond: 1000}, func() { dropped++ })
		ctx, cancel := context.WithCancel(t.Context())
		go sink.Run(ctx)
		began := time.Now()
		for i := range 100 {
			_, _ = fmt.Fprintf(sink, "level=info n=%d\n", i)
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("writing took %v", took)
		}
		if dropped < 90 {
			t.Errorf("%d lines left out", dropped)
		}
		close(out.blocked)
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
		time.Sleep(time.Second)
		_, _ = sink.Write([]byte("level=info msg=later\n"))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		sink.Run(ctx)
		text := out.String()
		for _, want := range []string{"msg=serious", "msg=later", "lines=990"} {
			if !strings.Contains(text, want) {
				t.Errorf("the output lacks %q", want)
			}
		}
		if plain := strings.Count(text, "msg=plain"); plain != 10 {
			t.Errorf("%d plain lines", plain)
		}
	})
}
