package targetset

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

// pathState is what the path to the targets of a test does.
type pathState int

const (
	pathWorks pathState = iota
	pathHangs
	// pathSwallows lets connections open and loses what is sent over them.
	pathSwallows
)

// startTargets serves the health path of the targets, in virtual time. The returned function
// sets the state of the path.
func (f *fixture) startTargets(t *testing.T, network *memnet.Network, targets int) (setPath func(pathState)) {
	t.Helper()
	const ownIP = "10.0.0.1"
	f.options.Network = network.Host(ownIP)
	swallows := make(chan struct{})
	for i := range targets {
		ip := "10.1.0." + strconv.Itoa(i+1)
		listener, err := network.Host(ip).Listen(t.Context(), ip+":80")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case <-swallows:
				<-r.Context().Done()
			default:
				w.WriteHeader(http.StatusServiceUnavailable) // an unhealthy target answers, too
			}
		})}
		go func() { _ = server.Serve(listener) }()
		context.AfterFunc(t.Context(), func() { _ = server.Close() })
	}
	f.TargetsChanged(nil) // the pools use the network that was set before
	f.TargetsChanged(published(targets))
	return func(state pathState) {
		for i := range targets {
			if ip := "10.1.0." + strconv.Itoa(i+1); state == pathHangs {
				network.Block(ownIP, ip)
			}
		}
		if state == pathSwallows {
			close(swallows)
		}
	}
}

// publishHealthPath publishes routes that name the health path of the targets.
func (f *fixture) publishHealthPath() {
	table, _ := routing.Compile(routing.Document{Version: 1, Services: []routing.Service{{Name: "s", HealthPath: "/health", MaxConnections: 330}}})
	f.RoutesChanged(table)
}

// leaveLate begins attempts that get no response while other VMs are answered, and lets time
// pass. It returns how many of them were given up.
func (f *fixture) leaveLate(t *testing.T, attempts int, mayFollow bool) (givenUp int) {
	t.Helper()
	abandoned := make([]bool, attempts)
	for i := range attempts {
		attempt := f.begin(t, wanted(routing.KindIdempotent))
		attempt.OnAbandoned(func() { abandoned[i] = true }, func() bool { return mayFollow })
		trip := &contract.RoundTrip{}
		trip.MarkWrote()
		attempt.startTimer(trip)
	}
	f.passTime(3 * time.Second)
	for _, was := range abandoned {
		if was {
			givenUp++
		}
	}
	return givenUp
}

// passTime lets time pass in which other VMs are answered.
func (f *fixture) passTime(total time.Duration) {
	const step = 50 * time.Millisecond
	for range total / step {
		time.Sleep(step)
		f.mu.Lock()
		f.now += step
		f.mu.Unlock()
		for _, id := range []string{"t6", "t7"} {
			f.Observed("vm-2", servedBy(id))
		}
	}
}

// TestLateRequestsAloneLoseNoPath guards against a VM with few requests that takes long ones for
// a lost path, and ends them while their targets work (LOST).
func TestLateRequestsAloneLoseNoPath(t *testing.T) {
	for _, c := range []struct {
		name      string
		path      pathState
		mayFollow bool
		cutOff    bool
		givenUp   bool
	}{
		{"the targets answer", pathWorks, true, false, false},
		{"connections hang", pathHangs, true, true, true},
		{"connections open and carry nothing", pathSwallows, true, true, true},
		{"connections hang and no other attempt can follow", pathHangs, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(8)
				setPath := f.startTargets(t, memnet.New(), 8)
				f.publishHealthPath()
				setPath(c.path)
				givenUp := f.leaveLate(t, lossesForTest, c.mayFollow)
				if cutOff := len(f.CutOffServices()) > 0; cutOff != c.cutOff {
					t.Errorf("cut off %v, want %v", cutOff, c.cutOff)
				}
				if (givenUp > 0) != c.givenUp {
					t.Errorf("%d of %d attempts were given up", givenUp, lossesForTest)
				}
			})
		})
	}
}

// TestLongRequestsBesideAnsweredOnesAreNoEvidence guards against a path in doubt, whose evidence
// against targets is dropped, since the long ones of many requests are left while the others
// were answered.
func TestLongRequestsBesideAnsweredOnesAreNoEvidence(t *testing.T) {
	f := newFixture(8)
	var long []*Attempt
	for range lossesForTest {
		long = append(long, f.begin(t, wanted(routing.KindIdempotent)))
	}
	f.now += 10 * time.Millisecond
	short := f.begin(t, wanted(routing.KindIdempotent))
	f.mu.Lock()
	f.responded(short, false)
	f.now += time.Second
	for _, attempt := range long {
		f.lost(attempt, false, f.now)
	}
	f.mu.Unlock()
	if f.PathInDoubt() {
		t.Error("the path is in doubt")
	}
}
