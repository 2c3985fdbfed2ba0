package targetset

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// turnsLoad is a service whose targets fail by turns: each of them for three tenths of the time.
// Nearly all of its requests must not run twice, and they need half of its targets.
type turnsLoad struct {
	*fixture
	random           *rand.Rand
	phases           []time.Duration
	began            time.Duration
	lastUsed         []time.Duration
	requests, failed int
	running          []*Attempt
	ends             []time.Duration
}

const (
	turnsTargets  = 150
	turnsPeriod   = 9 * time.Second
	turnsFailing  = turnsPeriod * 3 / 10
	turnsFailRate = 0.75
	turnsPerS     = 490
	turnsRunTime  = 400 * time.Millisecond
	// soundAfter is how long after a fault a target counts as sound.
	soundAfter = 2 * time.Second
)

func newTurnsLoad() *turnsLoad {
	f := &turnsLoad{fixture: newFixture(0), random: rand.New(rand.NewPCG(1, 2)), lastUsed: make([]time.Duration, turnsTargets)}
	targets := published(turnsTargets)
	for i := range targets {
		targets[i].Slots = 6
		f.phases = append(f.phases, time.Duration(f.random.Int64N(int64(turnsPeriod))))
	}
	f.TargetsChanged(targets)
	f.began = f.now
	return f
}

// sinceFault returns how long a target has not been failing.
func (f *turnsLoad) sinceFault(i int) time.Duration {
	return max((f.now-f.began+f.phases[i])%turnsPeriod-turnsFailing, 0)
}

func (f *turnsLoad) send() {
	kind := routing.KindOnce
	if f.random.IntN(8) == 0 {
		kind = routing.KindIdempotent
	}
	f.requests++
	f.RequestArrived("s")
	request := wanted(kind)
	request.Remaining, request.Useful = 5*time.Second, 2*time.Second
	attempt, err := f.Begin(request)
	if err != nil {
		f.failed++
		return
	}
	i, _ := strconv.Atoi(attempt.ID()[1:])
	f.lastUsed[i] = f.now
	if f.sinceFault(i) == 0 && f.random.Float64() < turnsFailRate {
		f.failed++
		attempt.Done(Result{End: suspicion.ResultFailed, Sent: true})
		return
	}
	f.running, f.ends = append(f.running, attempt), append(f.ends, f.now+turnsRunTime)
}

// run sends requests for a while and returns the smallest share of the sound targets that got one
// in any two seconds.
func (f *turnsLoad) run(length time.Duration) (leastUsed float64) {
	leastUsed = 1
	const gap, window = time.Second / turnsPerS, 2 * time.Second
	from := f.now
	for end, steps := f.now+length, 0; f.now < end; f.now, steps = f.now+gap, steps+1 {
		f.send()
		for len(f.ends) > 0 && f.ends[0] <= f.now {
			f.running[0].Done(served())
			f.running, f.ends = f.running[1:], f.ends[1:]
		}
		if steps%50 != 0 || f.now-from < window {
			continue
		}
		sound, used := 0, 0
		for i, at := range f.lastUsed {
			if f.sinceFault(i) < soundAfter+window {
				continue
			}
			sound++
			if f.now-at < window {
				used++
			}
		}
		leastUsed = min(leastUsed, float64(used)/float64(max(sound, 1)))
	}
	return leastUsed
}

// TestSoundTargetsStayInUseWhileOthersFailByTurns guards against sound targets that get nothing
// for seconds, since nothing has been known of them for a while and others have a better
// record, while many requests fail (FLOOR).
func TestSoundTargetsStayInUseWhileOthersFailByTurns(t *testing.T) {
	// In a bubble, the timers of attempts do not fire by the real time that the test takes.
	synctest.Test(t, func(t *testing.T) {
		const leastShare, maxFailedShare = 0.7, 0.12
		f := newTurnsLoad()
		f.run(10 * time.Second) // until the targets have records
		f.requests, f.failed = 0, 0
		used := f.run(20 * time.Second)
		failed := float64(f.failed) / float64(f.requests)
		t.Logf("%.2f of the sound targets are used in any two seconds, %.3f of the requests fail", used, failed)
		if used < leastShare {
			t.Errorf("%.2f of the sound targets got a request in two seconds", used)
		}
		if failed > maxFailedShare {
			t.Errorf("%.2f of the requests failed", failed)
		}
	})
}
