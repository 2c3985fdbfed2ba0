package proxy

import (
	"io"
	"strings"
	"testing"
	"time"
)

// TestReadTimeOfABodyIsMonotonic guards against targets that look slow, or fast, since the time
// of day has stepped while they answered an upload.
func TestReadTimeOfABodyIsMonotonic(t *testing.T) {
	body := &timedBody{ReadCloser: io.NopCloser(strings.NewReader("slot"))}
	start := time.Now()
	if _, err := io.ReadAll(body); err != nil {
		t.Fatal(err)
	}
	// Package time prints the reading of the monotonic clock, if a time has one, as m=.
	if text := body.lastRead(start).String(); !strings.Contains(text, " m=") {
		t.Errorf("the time %s has no reading of the monotonic clock", text)
	}
}
