package crashes

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/policy/roster"
	"github.com/primroseloom/primroseloom/standin/memnet"
)

const ownIP = "10.0.0.1"

// checkerFleet is one VM's tracker and some targets on an in-memory network, in
// virtual time.
type checkerFleet struct {
	t       *testing.T
	network *memnet.Network
	tracker *Tracker
	start   time.Time
	targets []roster.Target
	// mu guards the fields below.
	mu sync.Mutex
	// servedUntil is the time of the latest response of any target to another VM.
	servedUntil time.Duration
	// answered tells whether this VM gets responses of targets.
	answered bool
}

// setServedUntil sets the time of the latest response of any target.
func (f *checkerFleet) setServedUntil(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servedUntil = at
}

func (f *checkerFleet) servedSince(_ string, since time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servedUntil >= since
}

func targetIP(i int) string { return "10.1.0." + strconv.Itoa(i+1) }

// withChecker runs a test with six targets.
func withChecker(t *testing.T, test func(f *checkerFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &checkerFleet{t: t, network: memnet.New(), start: time.Now()}
		f.tracker = New(Options{
			Relays:  func() bool { return false },
			Network: f.network.Host(ownIP), Uptime: f.uptime, Logger: log.New(io.Discard), Scope: tally.NoopScope,
			ServedSince:   f.servedSince,
			AnsweredSince: func(time.Duration) bool { return f.answered },
		})
		f.tracker.UseNotifier(func() {})
		for i := range 6 {
			f.targets = append(f.targets, roster.Target{
				ID: "t" + strconv.Itoa(i), Service: "s", Address: net.JoinHostPort(targetIP(i), "80"), State: roster.StateReady, StartedAt: f.start,
			})
			f.listen(i)
		}
		f.publish()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = f.tracker.Run(ctx) }()
		test(f)
	})
}

func (f *checkerFleet) uptime() time.Duration { return time.Since(f.start) + time.Hour }

func (f *checkerFleet) publish() { f.tracker.TargetsChanged(f.targets) }

// listen starts a target that accepts connections.
func (f *checkerFleet) listen(i int) {
	listener, err := f.network.Host(targetIP(i)).Listen(context.Background(), f.targets[i].Address)
	if err != nil {
		f.t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	f.t.Cleanup(func() { f.network.Kill(targetIP(i)) })
}

// loseAttempts reports an attempt of one request as lost at each of the targets.
func (f *checkerFleet) loseAttempts(targets ...int) {
	for _, i := range targets {
		f.tracker.AttemptLost(LostAttempt{Request: request7, Target: f.targets[i]})
		time.Sleep(10 * time.Millisecond)
	}
}

// silence cuts the network path between this VM and a target.
func (f *checkerFleet) silence(i int) { f.network.Block(ownIP, targetIP(i)) }

func (f *checkerFleet) refused() bool {
	remaining, _ := f.tracker.Refused(request7)
	return remaining > 0
}

// TestLostAttemptIsACrashOnlyWhenItsTargetEnded guards against both mistakes about a
// request whose attempts get no complete response: going on to send one that crashes
// its targets, also when they fall silent, and refusing one whose targets close
// connections but live.
func TestLostAttemptIsACrashOnlyWhenItsTargetEnded(t *testing.T) {
	three := []int{0, 1, 2}
	for _, c := range []struct {
		name string
		// before takes place before the attempts are lost, after a second later.
		before, after func(f *checkerFleet)
		// refused tells whether the request is refused a second after the attempts were
		// lost, and after the second step.
		refused, refusedAfter bool
	}{
		{"targets live", func(*checkerFleet) {}, func(*checkerFleet) {}, false, false},
		{"targets refuse connections", func(f *checkerFleet) {
			for _, i := range three {
				f.network.Kill(targetIP(i))
			}
		}, func(*checkerFleet) { time.Sleep(time.Minute) }, true, true},
		{"targets fall silent", func(f *checkerFleet) {
			for _, i := range three {
				f.silence(i)
			}
		}, func(*checkerFleet) { time.Sleep(15 * time.Second) }, true, false},
		{"silent targets start anew", func(f *checkerFleet) {
			for _, i := range three {
				f.silence(i)
			}
		}, func(f *checkerFleet) {
			for _, i := range three {
				f.targets[i].StartedAt = f.start.Add(time.Second)
			}
			f.publish()
			time.Sleep(15 * time.Second)
		}, true, true},
		{"entries of silent targets are gone", func(f *checkerFleet) {
			for _, i := range three {
				f.silence(i)
			}
		}, func(f *checkerFleet) {
			f.targets = f.targets[3:]
			f.publish()
			time.Sleep(15 * time.Second)
		}, true, true},
		{"targets start anew under other identifiers", func(*checkerFleet) {}, func(f *checkerFleet) {
			for _, i := range three {
				f.targets[i].ID += "x"
				f.targets[i].StartedAt = f.start.Add(time.Second)
			}
			f.publish()
		}, false, true},
		{"targets leave as planned", func(*checkerFleet) {}, func(f *checkerFleet) {
			for _, i := range three {
				f.targets[i].State = roster.StateDraining
			}
			f.publish()
			f.targets = f.targets[3:]
			f.publish()
		}, false, false},
		{"this VM reaches no target", func(f *checkerFleet) {
			for i := range f.targets {
				f.silence(i)
			}
		}, func(*checkerFleet) {}, false, false},
		{"this VM reaches no target until these start anew", func(f *checkerFleet) {
			for i := range f.targets {
				f.silence(i)
			}
		}, func(f *checkerFleet) {
			for _, i := range three {
				f.targets[i].StartedAt = f.start.Add(time.Second)
			}
			f.publish()
		}, false, true},
		{"responses to other VMs were on their way", func(f *checkerFleet) {
			for _, i := range three {
				f.silence(i)
			}
			f.setServedUntil(f.uptime() + reportDelay/2)
		}, func(*checkerFleet) {}, true, true},
		{"other VMs reach the targets until these start anew", func(f *checkerFleet) {
			for _, i := range three {
				f.network.Kill(targetIP(i))
			}
			f.setServedUntil(2 * time.Hour)
		}, func(f *checkerFleet) {
			for _, i := range three {
				f.targets[i].StartedAt = f.start.Add(time.Second)
			}
			f.publish()
		}, false, true},
		{"other VMs reach the targets", func(f *checkerFleet) {
			for _, i := range three {
				f.silence(i)
			}
			f.setServedUntil(2 * time.Hour)
		}, func(*checkerFleet) {}, false, false},
	} {
		withChecker(t, func(f *checkerFleet) {
			c.before(f)
			f.loseAttempts(three...)
			time.Sleep(2 * time.Second)
			if f.refused() != c.refused {
				t.Errorf("%s: refused %v, want %v", c.name, f.refused(), c.refused)
			}
			c.after(f)
			if f.refused() != c.refusedAfter {
				t.Errorf("%s: refused in the end %v, want %v", c.name, f.refused(), c.refusedAfter)
			}
		})
	}
}

// TestLostAttemptsOfOneTargetShareItsChecks checks that a failing target which closes
// many connections is not checked for each of them.
func TestLostAttemptsOfOneTargetShareItsChecks(t *testing.T) {
	withChecker(t, func(f *checkerFleet) {
		scope := tally.NewTestScope("", nil)
		f.tracker.checker.scope = scope
		for range 100 {
			f.loseAttempts(0)
		}
		time.Sleep(5 * time.Second)
		checks := scope.Snapshot().Counters()["findings+finding=alive"].Value()
		if checks == 0 || checks > 8 {
			t.Errorf("%d checks for 100 lost attempts in a second", checks)
		}
	})
}

// TestProcessesWithLostAttemptsAreForgotten guards against a list that grows with each
// target that once lost an attempt.
func TestProcessesWithLostAttemptsAreForgotten(t *testing.T) {
	withChecker(t, func(f *checkerFleet) {
		f.loseAttempts(0, 1, 2)
		time.Sleep(2 * confirmTime)
		f.loseAttempts(3)
		if n := len(f.tracker.checker.processes); n != 1 {
			t.Errorf("%d processes are still known, want 1", n)
		}
		time.Sleep(time.Second)
	})
}

// TestTargetThatServesOnDidNotEndOnALostRequest guards against the refusal of a sound request
// whose connections a fault of the network reset at targets that served on and ended some
// seconds later for another reason.
func TestTargetThatServesOnDidNotEndOnALostRequest(t *testing.T) {
	withChecker(t, func(f *checkerFleet) {
		f.loseAttempts(0, 1, 2)
		f.setServedUntil(f.uptime() + time.Second)
		time.Sleep(3 * time.Second)
		f.setServedUntil(0)
		for i := range 3 {
			f.targets[i].StartedAt = time.Now()
		}
		f.publish()
		time.Sleep(time.Second)
		if f.refused() {
			t.Error("refused after its targets, which had served on, ended for another reason")
		}
	})
}

// TestRequestLostAtManyServingTargetsIsRefused guards against sending on a request that
// ends a worker process of each target behind a listener that goes on accepting, and
// against refusing a request whose connections were hit by a fault of the targets or of
// the network, or at which targets still work.
func TestRequestLostAtManyServingTargetsIsRefused(t *testing.T) {
	const spacing = 400 * time.Millisecond
	for _, c := range []struct {
		name string
		// lost is the number of targets that lose an attempt, spacing apart.
		lost    int
		spacing time.Duration
		// suspect tells whether the targets are suspected of a fault, served whether they
		// answer other requests, and answered whether this VM gets answers of targets.
		suspect, served, answered bool
		// inProgress tells whether the attempts have only been waiting for long.
		inProgress bool
		// between takes place after the second lost attempt.
		between func(f *checkerFleet)
		refused bool
	}{
		{name: "four targets", lost: 4, spacing: spacing, served: true, answered: true, refused: true},
		{name: "four targets that still work", lost: 4, spacing: spacing, served: true, answered: true, inProgress: true},
		{name: "three targets", lost: 3, spacing: spacing, served: true, answered: true},
		{name: "suspected targets", lost: 6, spacing: spacing, suspect: true, served: true, answered: true},
		{name: "targets that answer nobody", lost: 6, spacing: spacing, answered: true},
		{name: "a VM that gets no answers", lost: 6, spacing: spacing, served: true},
		{name: "all connections reset at one moment", lost: 6, spacing: 10 * time.Millisecond, served: true, answered: true},
		{name: "an answer in between", lost: 5, spacing: spacing, served: true, answered: true, between: func(f *checkerFleet) { f.tracker.Answered(request7) }},
		{name: "two targets that refuse connections then", lost: 3, spacing: spacing, served: true, answered: true, between: func(f *checkerFleet) {
			f.setServedUntil(0)
			f.network.Kill(targetIP(2))
		}, refused: true},
	} {
		withChecker(t, func(f *checkerFleet) {
			f.answered = c.answered
			for i := range c.lost {
				if c.served {
					f.setServedUntil(f.uptime())
				}
				if i == 2 && c.between != nil {
					c.between(f)
				}
				f.tracker.AttemptLost(LostAttempt{Request: request7, Target: f.targets[i], FromSuspect: c.suspect, InProgress: c.inProgress})
				time.Sleep(c.spacing)
			}
			time.Sleep(2 * time.Second)
			if f.refused() != c.refused {
				t.Errorf("%s: refused %v, want %v", c.name, f.refused(), c.refused)
			}
			if f.tracker.Suspected(request7) != c.refused {
				t.Errorf("%s: a lost attempt at a target that lives keeps the request from a retry", c.name)
			}
			time.Sleep(time.Minute)
		})
	}
}

// TestTargetThatHeldMuchIsNotTheRequestsFault guards against sound requests that are refused
// since their targets ended for lack of memory, and against one that ends targets whatever
// they hold and goes on.
func TestTargetThatHeldMuchIsNotTheRequestsFault(t *testing.T) {
	for _, c := range []struct {
		name string
		// muchSent tells for each lost attempt whether its target held much.
		muchSent []bool
		refused  bool
	}{
		{"two targets", []bool{false, false}, true},
		{"two targets that held much", []bool{true, true}, false},
		{"one of two held much", []bool{true, false}, false},
		{"one of three held much", []bool{true, false, false}, true},
		{"four targets that held much", []bool{true, true, true, true}, true},
	} {
		withChecker(t, func(f *checkerFleet) {
			for i, muchSent := range c.muchSent {
				f.network.Kill(targetIP(i))
				f.tracker.AttemptLost(LostAttempt{Request: request7, Target: f.targets[i], MuchSent: muchSent})
				time.Sleep(time.Second)
				f.listen(i) // back again: with most targets down the path would be at fault
			}
			if f.refused() != c.refused {
				t.Errorf("%s: refused %v, want %v", c.name, f.refused(), c.refused)
			}
			time.Sleep(time.Minute)
		})
	}
}
