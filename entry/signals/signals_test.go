package signals

import (
	"os"
	"slices"
	"syscall"
	"testing"
)

// TestOnlyASecondInterruptEndsAtOnce guards against a planned stop that a repeated SIGTERM cuts
// short, and against a process that can't be ended from a terminal.
func TestOnlyASecondInterruptEndsAtOnce(t *testing.T) {
	const term, interrupt, hangUp = syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP
	for _, c := range []struct {
		received []os.Signal
		want     []action
	}{
		{[]os.Signal{term, term, term}, []action{beginStop, ignore, ignore}},
		{[]os.Signal{term, interrupt, interrupt}, []action{beginStop, ignore, ignore}},
		{[]os.Signal{term, hangUp, hangUp}, []action{beginStop, ignore, ignore}},
		{[]os.Signal{interrupt, term, interrupt}, []action{beginStop, ignore, ignore}},
		{[]os.Signal{interrupt, hangUp, interrupt}, []action{beginStop, ignore, endAtOnce}},
		{[]os.Signal{interrupt, interrupt}, []action{beginStop, endAtOnce}},
	} {
		var h Handler
		var got []action
		for _, received := range c.received {
			got = append(got, h.actionFor(received))
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%v caused %v, want %v", c.received, got, c.want)
		}
	}
}
