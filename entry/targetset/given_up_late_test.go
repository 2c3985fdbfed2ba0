package targetset

import (
	"testing"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
)

// TestAttemptThatRespondsMeanwhileIsNotGivenUp guards against a response that is cut while it is
// passed on, since its head arrived between the examination of its attempt and its end (LOST).
func TestAttemptThatRespondsMeanwhileIsNotGivenUp(t *testing.T) {
	f := newFixture(8)
	attempt := f.begin(t, wanted(routing.KindIdempotent))
	abandoned := false
	attempt.OnAbandoned(func() { abandoned = true }, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.responded(attempt, false)
		return true
	})
	attempt.trip = &contract.RoundTrip{}
	attempt.trip.MarkWrote()
	attempt.silenceLimit = 0
	f.mu.Lock()
	f.services["s"].breaker.OpenByLosses(f.now)
	f.mu.Unlock()
	attempt.examine()
	attempt.stopTimers()
	if abandoned {
		t.Error("the attempt was given up after its response had arrived")
	}
}
