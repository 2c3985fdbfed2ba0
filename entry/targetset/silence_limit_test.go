package targetset

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/entry/targetconn"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// TestLostPathIsFoundWhileAllConnectionsAreUsed guards against a VM that never finds out that its
// path is lost, since the lost requests hold all connections that it may open to the targets, so
// that no target is asked.
func TestLostPathIsFoundWhileAllConnectionsAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const targets = 8
		f := newFixture(targets)
		setPath := f.startTargets(t, memnet.New(), targets)
		table, _ := routing.Compile(routing.Document{Version: 1, Services: []routing.Service{{Name: "s", HealthPath: "/health", MaxConnections: 10}}})
		f.RoutesChanged(table)
		setPath(pathSwallows)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f.mu.Lock()
		for _, target := range f.targets {
			for range minConnections {
				go func() {
					trip := contract.WithRoundTrip(ctx, &contract.RoundTrip{NewConnection: true})
					request, _ := http.NewRequestWithContext(trip, http.MethodGet, "http://"+target.info.Address+"/", nil)
					_, _, _ = targetconn.Send(target.pool, target.info.ID, request)
				}()
			}
		}
		f.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		givenUp := f.leaveLate(t, lossesForTest, true)
		if len(f.CutOffServices()) == 0 || givenUp == 0 {
			t.Errorf("cut off from %v, %d attempts given up, although no request gets through", f.CutOffServices(), givenUp)
		}
	})
}
