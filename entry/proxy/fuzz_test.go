package proxy

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"

	"github.com/primroseloom/primroseloom/config/document"
)

var (
	fuzzRuns = flag.Int("fuzz-runs", 60, "number of command sequences of the stateful fuzz test")
	fuzzSeed = flag.Int64("fuzz-seed", 1, "seed of the stateful fuzz test")
)

const (
	fuzzVMs     = 3
	fuzzTargets = 4
	fuzzSteps   = 60
)

// world is a simulated fleet with its targets, callers and oracle.
type world struct {
	fleet        *fleet
	targets      []*fuzzTarget
	oracle       *oracle
	keyHeaders   map[string]string
	blockedLinks map[[2]int]bool
	steps        []string
	// admissions counts the requests admitted; it varies their waits.
	admissions   atomic.Int64
	omitDeadline bool
	started      time.Time
	// lastPoison is when the poison request was last sent.
	lastPoison time.Time
}

// mutation is a fault to inject that breaks one promise; the zero value is no
// fault.
type mutation struct {
	name            string
	options         func(*Options)
	reuseInstance   bool
	acceptTruncated bool
	omitDeadline    bool
	noBackground    bool
}

func newWorld(injected mutation) *world {
	w := &world{keyHeaders: make(map[string]string), blockedLinks: make(map[[2]int]bool), omitDeadline: injected.omitDeadline, started: time.Now()}
	var definitions []document.Target
	for i := range fuzzTargets {
		definitions = append(definitions, document.Target{Name: "t" + strconv.Itoa(i), Address: targetIP(i) + ":80", Zone: "z"})
	}
	w.oracle = &oracle{world: w, runsPerRequest: make(map[int]int), crashes: make(map[string]int)}
	w.fleet = newFleet(context.Background(), 0, definitions, func(o *Options) {
		targets := o.Targets.(*fakeTargets)
		targets.acceptTruncated = injected.acceptTruncated
		targets.admissionDelay = func() time.Duration { return time.Duration(w.admissions.Add(1)%3) * 100 * time.Millisecond }
		if injected.options != nil {
			injected.options(o)
		}
	})
	w.fleet.reuseInstance = injected.reuseInstance
	w.fleet.noBackground = injected.noBackground
	w.fleet.vms = make([]*vm, fuzzVMs)
	for i := range fuzzVMs {
		w.fleet.start(i)
	}
	for i := range definitions {
		target := &fuzzTarget{world: w, index: i}
		target.listen()
		w.targets = append(w.targets, target)
	}
	synctest.Wait()
	return w
}

// finish ends all faults, waits for the requests in progress, closes the fleet
// and returns the violations.
func (w *world) finish() []string {
	w.heal()
	time.Sleep(time.Minute)
	violations := w.oracle.check()
	if pending := w.oracle.unfinished(); pending > 0 {
		violations = append(violations, fmt.Sprintf("%d requests got no response", pending))
	}
	for _, target := range w.targets {
		target.stop(false)
	}
	w.fleet.close()
	time.Sleep(2 * time.Minute)
	return violations
}

func (w *world) elapsed() time.Duration { return time.Since(w.started) }

func (w *world) heal() {
	clear(w.blockedLinks)
	for v := range fuzzVMs {
		for other := range fuzzVMs {
			w.fleet.network.Unblock(vmIP(v), vmIP(other))
		}
		for t := range fuzzTargets {
			w.fleet.network.Unblock(targetIP(t), vmIP(v))
		}
	}
	for _, target := range w.targets {
		target.setMode(modeHealthy)
	}
}

// startRequest sends a request to a VM in the background.
func (w *world) startRequest(vm int, id, method, path, key string, deadline time.Duration) {
	w.sendInBackground(w.newRequest(vm, id, method, path, deadline), key)
}

// newRequest records a request that is about to be sent.
func (w *world) newRequest(vm int, id, method, path string, deadline time.Duration) *callerRequest {
	o := w.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &callerRequest{index: len(o.requests), id: id, method: method, path: path, atMostOnce: method == "POST", vm: vm, deadline: deadline, start: time.Now()}
	a.suspendedAtStart = time.Duration(w.fleet.vms[vm].clock.suspended.Load())
	o.requests = append(o.requests, a)
	return a
}

// sendInBackground sends a request and records its response in the background.
func (w *world) sendInBackground(a *callerRequest, key string) {
	lines := []string{requestIndexHeader + ": " + strconv.Itoa(a.index)}
	if !w.omitDeadline {
		lines = append(lines, TimeoutHeader+": "+strconv.FormatInt(a.deadline.Milliseconds(), 10))
	}
	if key != "" {
		lines = append(lines, key)
	}
	go func() { w.oracle.recordResponse(a, w.fleet.send(a.vm, a.method, a.path, a.id, lines...)) }()
}

// step is one command of the fuzz test. Its numbers choose the VM, the target and
// the parameters among those that exist.
type step struct {
	kind    string
	a, b, c int
}

// String shows the command in a failure report.
func (s step) String() string { return fmt.Sprintf("%s(%d,%d,%d)", s.kind, s.a, s.b, s.c) }

// PreCondition allows every command in every state.
func (s step) PreCondition(commands.State) bool { return true }

// NextState counts the commands.
func (s step) NextState(state commands.State) commands.State { return state.(int) + 1 }

// PostCondition fails on the first violation.
func (s step) PostCondition(_ commands.State, result commands.Result) *gopter.PropResult {
	if violations := result.([]string); len(violations) > 0 {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: violations}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// Run executes the command and returns the violations so far.
func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	w.steps = append(w.steps, fmt.Sprintf("%s@%d", s, w.elapsed().Milliseconds()))
	actions[s.kind](w, s)
	synctest.Wait()
	return w.oracle.check()
}

var deadlines = []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// actions are the commands by kind. Commands are drawn from the sorted kinds, so
// another name of a kind changes the sequence that a seed produces.
//   - "lookup" sends an idempotent request, "booking" one that must not run twice,
//     and "keyed" one with an idempotency key; "resend" repeats a keyed request.
//   - "poison" sends a request that crashes its target.
//   - "advance" lets 40 ms to 2 s pass, "hour" 30 to 129 s.
//   - "mode" changes how a target behaves; "restart" restarts a target.
//   - "silence" stalls the open connections between a VM and a target, "quiet"
//     those between two VMs.
//   - "deaf" blocks the packets from one VM to another, "cut" those from a target
//     to a VM. "heal" ends all blocks and makes all targets healthy.
//   - "replace" kills a VM and starts a new instance of it.
//   - "suspend" suspends a VM; "sleeper" does so between the start of a keyed
//     request at its caller and its arrival at the VM.
var actions = map[string]func(w *world, s step){
	"lookup": func(w *world, s step) {
		w.startRequest(s.a%fuzzVMs, w.newID(), "GET", w.path(s), "", deadlines[s.c%4])
	},
	"booking": func(w *world, s step) {
		w.startRequest(s.a%fuzzVMs, w.newID(), "POST", w.path(s), "", deadlines[s.c%4])
	},
	"keyed": func(w *world, s step) {
		id := w.newID()
		w.keyHeaders[id] = w.fleet.vms[s.b%fuzzVMs].keyHeader(id)
		w.startRequest(s.a%fuzzVMs, id, "POST", w.path(s), w.keyHeaders[id], deadlines[s.c%4])
	},
	"resend": resend,
	"poison": func(w *world, s step) {
		started := w.fleet.vms[s.a%fuzzVMs].clock.start
		if time.Since(w.lastPoison) < time.Second || time.Since(started) < time.Second {
			return
		}
		w.lastPoison = time.Now()
		w.startRequest(s.a%fuzzVMs, "poison", "GET", poisonPath, "", 3*time.Second)
	},
	"advance": func(_ *world, s step) { time.Sleep(time.Duration(1+s.a%50) * 40 * time.Millisecond) },
	"hour":    func(_ *world, s step) { time.Sleep(time.Duration(30+s.a%100) * time.Second) },
	"mode":    func(w *world, s step) { w.targets[s.a%fuzzTargets].setMode(mode(s.b % int(modeCount))) },
	"restart": func(w *world, s step) { w.targets[s.a%fuzzTargets].stop(true) },
	"silence": func(w *world, s step) { w.fleet.network.StallConnections(vmIP(s.a%fuzzVMs), targetIP(s.b%fuzzTargets)) },
	"deaf":    func(w *world, s step) { w.fleet.network.Block(vmIP(s.a%fuzzVMs), vmIP(s.b%fuzzVMs)) },
	"cut": func(w *world, s step) {
		w.blockedLinks[[2]int{s.a % fuzzTargets, s.b % fuzzVMs}] = true
		w.fleet.network.Block(targetIP(s.a%fuzzTargets), vmIP(s.b%fuzzVMs))
	},
	"quiet": func(w *world, s step) { w.fleet.network.StallConnections(vmIP(s.a%fuzzVMs), vmIP(s.b%fuzzVMs)) },
	"heal":  func(w *world, _ step) { w.heal() },
	"replace": func(w *world, s step) {
		w.fleet.kill(s.a % fuzzVMs)
		w.fleet.start(s.a % fuzzVMs)
		synctest.Wait()
	},
	"sleeper": func(w *world, s step) {
		v := w.fleet.vms[s.a%fuzzVMs]
		id := w.newID()
		w.keyHeaders[id] = v.keyHeader(id)
		a := w.newRequest(s.a%fuzzVMs, id, "POST", w.path(s), deadlines[s.c%4])
		v.clock.suspended.Add(int64(time.Duration(1+s.b%30) * time.Second))
		w.sendInBackground(a, w.keyHeaders[id])
	},
	"suspend": func(w *world, s step) {
		w.fleet.vms[s.a%fuzzVMs].clock.suspended.Add(int64(time.Duration(1+s.b%100) * time.Second))
	},
}

// weights are the relative frequencies of the commands.
var weights = map[string]int{
	"lookup": 8, "booking": 4, "keyed": 10, "resend": 10, "poison": 2, "advance": 12, "hour": 1, "mode": 8,
	"restart": 1, "silence": 2, "deaf": 1, "cut": 1, "quiet": 1, "heal": 2, "replace": 1, "suspend": 2, "sleeper": 1,
}

func (w *world) newID() string { return "r" + strconv.Itoa(len(w.oracle.requests)) }

func (w *world) path(s step) string {
	if s.b%8 == 7 {
		return longPath
	}
	return "/short"
}

// resend sends an earlier keyed request again, through any VM.
func resend(w *world, s step) {
	if len(w.recentKeyed()) == 0 {
		return
	}
	earlier := w.recentKeyed()[s.b%len(w.recentKeyed())]
	w.startRequest(s.a%fuzzVMs, earlier.id, "POST", earlier.path, w.keyHeaders[earlier.id], deadlines[s.c%4])
}

// recentKeyed returns the latest keyed requests.
func (w *world) recentKeyed() []*callerRequest {
	var keyed []*callerRequest
	for _, a := range w.oracle.requests {
		if _, ok := w.keyHeaders[a.id]; ok {
			keyed = append(keyed, a)
		}
	}
	return keyed[max(0, len(keyed)-12):]
}

func genStep(commands.State) gopter.Gen {
	var kinds []any
	for kind := range actions {
		for range weights[kind] {
			kinds = append(kinds, kind)
		}
	}
	slices.SortFunc(kinds, func(a, b any) int { return strings.Compare(a.(string), b.(string)) })
	return gopter.CombineGens(gen.OneConstOf(kinds...), gen.IntRange(0, 999), gen.IntRange(0, 999), gen.IntRange(0, 999)).
		Map(func(values []any) commands.Command {
			return step{values[0].(string), values[1].(int), values[2].(int), values[3].(int)}
		})
}

// fuzz runs command sequences and returns the number of steps, the counts of
// outcomes and runs, and the violations.
func fuzz(t *testing.T, seed int64, runs int, injected mutation) (steps int, counts map[string]int, violations []string) {
	counts = make(map[string]int)
	synctest.Test(t, func(*testing.T) {
		proto := &commands.ProtoCommands{
			NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newWorld(injected) },
			DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
				w := sut.(*world)
				steps += len(w.steps)
				if found := w.finish(); len(found) > 0 {
					violations = append(violations, fmt.Sprint(found, w.steps))
				}
				w.oracle.countOutcomes(counts)
			},
			InitialStateGen: gen.Const(0),
			GenCommandFunc:  genStep,
		}
		parameters := gopter.DefaultTestParametersWithSeed(seed)
		parameters.MinSuccessfulTests = runs
		parameters.MinSize, parameters.MaxSize = fuzzSteps, fuzzSteps
		parameters.MaxShrinkCount = 0
		if result := commands.Prop(proto).Check(parameters); !result.Passed() {
			violations = append(violations, fmt.Sprint("gopter: ", result.Status, result.Error))
		}
	})
	return steps, counts, violations
}

// TestPromisesHoldUnderFaults runs random sequences of requests and faults and
// checks the promises after each step.
func TestPromisesHoldUnderFaults(t *testing.T) {
	steps, counts, violations := fuzz(t, *fuzzSeed, *fuzzRuns, mutation{})
	t.Logf("%d steps in %d sequences, seed %d: %v", steps, *fuzzRuns, *fuzzSeed, counts)
	if counts["answered"]*4 < steps/4 {
		t.Errorf("only %d requests were answered", counts["answered"])
	}
	for _, violation := range violations {
		t.Error(violation)
	}
}
