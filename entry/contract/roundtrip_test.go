package contract

import (
	"strings"
	"testing"
)

// TestTimeOfAWriteIsMonotonic guards against attempts that count as silent, and are given up,
// since the time of day has stepped forward while they were in progress.
func TestTimeOfAWriteIsMonotonic(t *testing.T) {
	trip := &RoundTrip{}
	if since := trip.SinceWrite(); since != 0 {
		t.Errorf("%v since a write that has not taken place", since)
	}
	trip.MarkWrote()
	// Package time prints the reading of the monotonic clock, if a time has one, as m=.
	if text := trip.wroteAt.Load().String(); !strings.Contains(text, " m=") {
		t.Errorf("the time %s has no reading of the monotonic clock", text)
	}
	if since := trip.SinceWrite(); since < 0 {
		t.Errorf("%v since the write", since)
	}
}
