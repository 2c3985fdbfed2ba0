package proxy

import (
	"net/http"
	"testing"
	"time"
)

// TestPauseOfAShedRequest guards against a pause that no target asked for.
func TestPauseOfAShedRequest(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "3": 3 * time.Second, "-3": 0, "x": 0, "99999999999": 0, "Mon, 02 Jan 2006 15:04:05 GMT": 0,
	} {
		if got := pauseOf(&http.Response{Header: http.Header{"Retry-After": {value}}}); got != want {
			t.Errorf("Retry-After %q: %v, want %v", value, got, want)
		}
	}
	date := time.Now().Add(time.Hour).UTC().Format(http.TimeFormat)
	if got := pauseOf(&http.Response{Header: http.Header{"Retry-After": {date}}}); got < 59*time.Minute || got > time.Hour {
		t.Errorf("a date in an hour: %v", got)
	}
}
