package proxy

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestDrainRefusesWhatItCannotFinish guards against a request that a stopping VM passes on to a target
// although its time limit ends after the stop's grace period, so that it is cut without an answer: one
// of a caller, and one with a key that another VM forwards. A request that fits is served.
func TestDrainRefusesWhatItCannotFinish(t *testing.T) {
	for name, key := range map[string]bool{"from a caller": false, "forwarded with a key": true} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 2, oneTarget(), func(t *testing.T, f *fleet) {
				runs := 0
				startScriptedTargets(t, f, func(*http.Request) string {
					runs++
					time.Sleep(8 * time.Second)
					return completeResponse
				})
				via, extra, refused := 1, []string(nil), "not_run"
				if key {
					// An earlier request with the key may have run.
					via, extra, refused = 0, []string{f.vms[1].keyHeader("k")}, "may_have_run"
				}
				ctx, cancel := context.WithTimeout(f.ctx, 12*time.Second)
				defer cancel()
				stopped := make(chan error, 1)
				go func() { stopped <- f.vms[1].proxy.Drain(ctx, f.vms[1].servers[0], 5*time.Second) }()
				time.Sleep(time.Second)
				if got := f.send(via, "POST", "/book", "x", append(extra, TimeoutHeader+": 30000")...); got.header.Get(OutcomeHeader) != refused || runs != 0 {
					t.Errorf("a request that can't be finished: %+v, %d runs", got, runs)
				}
				if key {
					extra = []string{f.vms[1].keyHeader("k2")}
				}
				if got := f.send(via, "POST", "/book", "x", append(extra, TimeoutHeader+": 9000")...); got.status != http.StatusOK || runs != 1 {
					t.Errorf("a request that can be finished: %+v, %d runs", got, runs)
				}
				if err := <-stopped; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// TestDrainAnswersRequestsInARow guards against a stopping VM that closes a connection behind the first
// response although it has read further whole requests on it, and against one that closes a
// connection that it accepted last without a response to its first request.
func TestDrainAnswersRequestsInARow(t *testing.T) {
	const linger = time.Second
	for name, sendAfter := range map[string]time.Duration{
		"arrived before the stop":               -300 * time.Millisecond,
		"arrive during the linger":              300 * time.Millisecond,
		"arrive on a connection accepted last":  linger + 50*time.Millisecond,
		"arrive at the same moment as the stop": 0,
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 1, oneTarget(), func(t *testing.T, f *fleet) {
				startScriptedTargets(t, f, func(*http.Request) string {
					time.Sleep(time.Second)
					return completeResponse
				})
				const inRow = 3
				one := "GET / HTTP/1.1\r\nHost: booking.test\r\n" + CredentialHeader + ": secret-a\r\n" + TimeoutHeader + ": 20000\r\n\r\n"
				stopAt := time.Now().Add(max(-sendAfter, 0))
				sendAt := stopAt.Add(sendAfter)
				stopped := make(chan error, 1)
				time.AfterFunc(time.Until(stopAt), func() {
					ctx, cancel := context.WithTimeout(f.ctx, 30*time.Second)
					defer cancel()
					stopped <- f.vms[0].proxy.Drain(ctx, f.vms[0].servers[0], linger)
				})
				time.Sleep(time.Until(sendAt) - 100*time.Millisecond)
				conn, err := f.network.Host("10.0.0.8").DialContext(f.ctx, "tcp", vmIP(0)+":80")
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Until(sendAt))
				if _, err := conn.Write([]byte(strings.Repeat(one, inRow))); err != nil {
					t.Fatal(err)
				}
				reader, answered := bufio.NewReader(conn), 0
				for answered < inRow {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						break
					}
					if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
						t.Errorf("status %d, %v", response.StatusCode, err)
					}
					answered++
				}
				if answered != inRow {
					t.Errorf("%d of %d requests in a row were answered", answered, inRow)
				}
				_ = conn.Close()
				if err := <-stopped; err != nil {
					t.Error(err)
				}
			})
		})
	}
}
