package targetset

import (
	"testing"
	"testing/synctest"

	"net/http"
	"strconv"
	"time"

	"github.com/primroseloom/primroseloom/standin/memnet"
)

// TestBusyTargetsThatAnswerTheCheckLateLoseNoPath guards against a check that gives up before a busy
// target answers, so that a VM takes a service under load for a lost path and ends its requests (LOST).
func TestBusyTargetsThatAnswerTheCheckLateLoseNoPath(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, 350 * time.Millisecond, 900 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(8)
			network := memnet.New()
			f.options.Network = network.Host("10.0.0.1")
			for i := range 8 {
				ip := "10.1.0." + strconv.Itoa(i+1)
				listener, err := network.Host(ip).Listen(t.Context(), ip+":80")
				if err != nil {
					t.Fatal(err)
				}
				server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(delay) })}
				go func() { _ = server.Serve(listener) }()
				defer func() { _ = server.Close() }()
			}
			f.TargetsChanged(nil)
			f.TargetsChanged(published(8))
			f.publishHealthPath()
			if givenUp := f.leaveLate(t, lossesForTest, true); givenUp > 0 || len(f.CutOffServices()) > 0 {
				t.Errorf("answers after %v: cut off from %v, %d attempts given up", delay, f.CutOffServices(), givenUp)
			}
			time.Sleep(2 * time.Second)
		})
	}
}
