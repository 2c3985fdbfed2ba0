package targetset

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/contract"
	"github.com/primroseloom/primroseloom/policy/suspicion"
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
			f.checks.Add(1)
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
	f.beginLateBeforeResponse(t)
	if f.PathInDoubt() {
		t.Error("the path is in doubt")
	}
}

// beginLateBeforeResponse returns attempts that are late and began before the latest response of
// their service.
func (f *fixture) beginLateBeforeResponse(t *testing.T) []*Attempt {
	t.Helper()
	var late []*Attempt
	for range lossesForTest {
		late = append(late, f.begin(t, wanted(routing.KindIdempotent)))
	}
	f.now += 10 * time.Millisecond
	short := f.begin(t, wanted(routing.KindIdempotent))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.responded(short, false)
	f.now += time.Second
	for _, attempt := range late {
		f.lost(attempt, false, f.now)
	}
	return late
}

// TestTimeLimitsAloneLoseNoPath guards against a VM with few requests, which takes some that
// reached their time limit for a lost path (LOST).
func TestTimeLimitsAloneLoseNoPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(8)
		f.startTargets(t, memnet.New(), 8)
		f.publishHealthPath()
		var attempts []*Attempt
		for range lossesForTest {
			attempts = append(attempts, f.begin(t, wanted(routing.KindOnce)))
		}
		f.passTime(time.Second)
		for _, attempt := range attempts {
			failure := &contract.RoundTripError{Kind: contract.AttemptTimedOut, Target: attempt.ID(), Cause: errors.New("deadline")}
			attempt.Done(Result{End: suspicion.ResultTimedOut, Err: failure, Sent: true})
		}
		f.passTime(time.Second)
		if names := f.CutOffServices(); len(names) > 0 {
			t.Errorf("cut off from %v", names)
		}
		if f.checks.Load() == 0 || f.PathInDoubt() {
			t.Errorf("%d checks were answered, the path is in doubt: %v", f.checks.Load(), f.PathInDoubt())
		}
	})
}

// TestChecksOfAPathAreFew guards against a service whose requests all take long, of which each
// examination of an attempt asks targets for their health.
func TestChecksOfAPathAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(8)
		setPath := f.startTargets(t, memnet.New(), 8)
		f.publishHealthPath()
		setPath(pathSwallows)
		f.mu.Lock()
		for range 50 {
			f.checkSilence("s", f.services["s"], f.now)
		}
		f.mu.Unlock()
		synctest.Wait()
		if checks := f.checks.Load(); checks == 0 || checks > maxPathChecks {
			t.Errorf("%d targets were asked at once, want at most %d", checks, maxPathChecks)
		}
		time.Sleep(2 * probeTimeout)
	})
}

// TestAttemptsOnLiveConnectionsAreNotGivenUp guards against a response that is lost since new
// connections are refused, while open ones go on carrying responses (LOST).
func TestAttemptsOnLiveConnectionsAreNotGivenUp(t *testing.T) {
	f := newFixture(8)
	attempt := f.begin(t, wanted(routing.KindIdempotent))
	attempt.OnAbandoned(func() { t.Error("the attempt was given up") }, func() bool { return true })
	attempt.trip = &contract.RoundTrip{}
	attempt.trip.MarkWrote()
	attempt.silenceLimit = 0
	f.mu.Lock()
	f.services["s"].breaker.OpenByLosses(f.now)
	f.services["s"].breaker.Answered(false, f.now)
	f.mu.Unlock()
	attempt.examine()
	attempt.stopTimers()
}
