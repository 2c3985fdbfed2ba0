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
	fuzzRuns = flag.Int("fuzz-runs", 60, "number of command sequences of the stateful fuzz")
	fuzzSeed = flag.Int64("fuzz-seed", 1, "seed of the stateful fuzz")
)

const (
	fuzzVMs     = 3
	fuzzTargets = 4
	fuzzLength  = 60
)

// world is one fleet with its targets, callers and oracle.
type world struct {
	fleet   *fleet
	targets []*fuzzTarget
	oracle  *oracle
	keyOf   map[string]string
	cut     map[[2]int]bool
	steps   []string
	// admissions counts the requests admitted; it varies their waits.
	admissions atomic.Int64
	noDeadline bool
	started    time.Time
	// poisoned is when the poison request was last sent.
	poisoned time.Time
}

// mutation breaks one promise on purpose; the zero value breaks none.
type mutation struct {
	name         string
	options      func(*Options)
	sameInstance bool
	lenient      bool
	noDeadline   bool
	noWatch      bool
}

func newWorld(broken mutation) *world {
	w := &world{keyOf: make(map[string]string), cut: make(map[[2]int]bool), noDeadline: broken.noDeadline, started: time.Now()}
	var definitions []document.Target
	for i := range fuzzTargets {
		definitions = append(definitions, document.Target{Name: "t" + strconv.Itoa(i), Address: targetIP(i) + ":80", Zone: "z"})
	}
	w.oracle = &oracle{world: w, perAsk: make(map[int]int), crashes: make(map[string]int)}
	w.fleet = newFleet(context.Background(), 0, definitions, func(o *Options) {
		targets := o.Targets.(*fakeTargets)
		targets.lenient = broken.lenient
		targets.admission = func() time.Duration { return time.Duration(w.admissions.Add(1)%3) * 100 * time.Millisecond }
		if broken.options != nil {
			broken.options(o)
		}
	})
	w.fleet.sameInstance = broken.sameInstance
	w.fleet.noWatch = broken.noWatch
	w.fleet.vms = make([]*vm, fuzzVMs)
	for i := range fuzzVMs {
		w.fleet.start(i)
	}
	for i := range definitions {
		target := &fuzzTarget{world: w, index: i}
		target.up()
		w.targets = append(w.targets, target)
	}
	synctest.Wait()
	return w
}

// settle ends all faults, waits for the requests in progress and closes.
func (w *world) settle() []string {
	w.heal()
	time.Sleep(time.Minute)
	found := w.oracle.check()
	if waiting := w.oracle.unfinished(); waiting > 0 {
		found = append(found, fmt.Sprintf("%d asks never ended", waiting))
	}
	for _, target := range w.targets {
		target.down(false)
	}
	w.fleet.close()
	time.Sleep(2 * time.Minute)
	return found
}

func (w *world) elapsed() time.Duration { return time.Since(w.started) }

func (w *world) heal() {
	clear(w.cut)
	for v := range fuzzVMs {
		for other := range fuzzVMs {
			w.fleet.network.Unblock(vmIP(v), vmIP(other))
		}
		for t := range fuzzTargets {
			w.fleet.network.Unblock(targetIP(t), vmIP(v))
		}
	}
	for _, target := range w.targets {
		target.set(modeWell)
	}
}

// send starts an ask on a VM.
func (w *world) send(vm int, id, method, path, key string, deadline time.Duration) {
	w.start(w.newAsk(vm, id, method, path, deadline), key)
}

// newAsk notes that a caller is about to send.
func (w *world) newAsk(vm int, id, method, path string, deadline time.Duration) *ask {
	o := w.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	a := &ask{number: len(o.asks), id: id, method: method, path: path, once: method == "POST", vm: vm, deadline: deadline, start: time.Now()}
	a.suspended = time.Duration(w.fleet.vms[vm].clock.jump.Load())
	o.asks = append(o.asks, a)
	return a
}

// start sends an ask and waits for its end in the background.
func (w *world) start(a *ask, key string) {
	lines := []string{askHeader + ": " + strconv.Itoa(a.number)}
	if !w.noDeadline {
		lines = append(lines, TimeoutHeader+": "+strconv.FormatInt(a.deadline.Milliseconds(), 10))
	}
	if key != "" {
		lines = append(lines, key)
	}
	go func() { w.oracle.tell(a, w.fleet.ask(a.vm, a.method, a.path, a.id, lines...)) }()
}

// step is one command of the fuzz. Its numbers choose among what exists.
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
	if found := result.([]string); len(found) > 0 {
		return &gopter.PropResult{Status: gopter.PropFalse, Labels: found}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

// Run acts on the world and returns the violations so far.
func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	w.steps = append(w.steps, fmt.Sprintf("%s@%d", s, w.elapsed().Milliseconds()))
	actions[s.kind](w, s)
	synctest.Wait()
	return w.oracle.check()
}

var deadlines = []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second, 10 * time.Second}

// actions are the commands by kind.
var actions = map[string]func(w *world, s step){
	"lookup": func(w *world, s step) {
		w.send(s.a%fuzzVMs, w.name(), "GET", w.path(s), "", deadlines[s.c%4])
	},
	"booking": func(w *world, s step) {
		w.send(s.a%fuzzVMs, w.name(), "POST", w.path(s), "", deadlines[s.c%4])
	},
	"keyed": func(w *world, s step) {
		id := w.name()
		w.keyOf[id] = w.fleet.vms[s.b%fuzzVMs].key(id)
		w.send(s.a%fuzzVMs, id, "POST", w.path(s), w.keyOf[id], deadlines[s.c%4])
	},
	"resend": resend,
	"poison": func(w *world, s step) {
		started := w.fleet.vms[s.a%fuzzVMs].clock.start
		if time.Since(w.poisoned) < time.Second || time.Since(started) < time.Second {
			return
		}
		w.poisoned = time.Now()
		w.send(s.a%fuzzVMs, "poison", "GET", poisonPath, "", 3*time.Second)
	},
	"advance": func(_ *world, s step) { time.Sleep(time.Duration(1+s.a%50) * 40 * time.Millisecond) },
	"hour":    func(_ *world, s step) { time.Sleep(time.Duration(30+s.a%100) * time.Second) },
	"mode":    func(w *world, s step) { w.targets[s.a%fuzzTargets].set(mode(s.b % int(modeCount))) },
	"restart": func(w *world, s step) { w.targets[s.a%fuzzTargets].down(true) },
	"silence": func(w *world, s step) { w.fleet.network.Silence(vmIP(s.a%fuzzVMs), targetIP(s.b%fuzzTargets)) },
	"deaf":    func(w *world, s step) { w.fleet.network.Block(vmIP(s.a%fuzzVMs), vmIP(s.b%fuzzVMs)) },
	"cut": func(w *world, s step) {
		w.cut[[2]int{s.a % fuzzTargets, s.b % fuzzVMs}] = true
		w.fleet.network.Block(targetIP(s.a%fuzzTargets), vmIP(s.b%fuzzVMs))
	},
	"quiet": func(w *world, s step) { w.fleet.network.Silence(vmIP(s.a%fuzzVMs), vmIP(s.b%fuzzVMs)) },
	"heal":  func(w *world, _ step) { w.heal() },
	"replace": func(w *world, s step) {
		w.fleet.kill(s.a % fuzzVMs)
		w.fleet.start(s.a % fuzzVMs)
		synctest.Wait()
	},
	"sleeper": func(w *world, s step) {
		v := w.fleet.vms[s.a%fuzzVMs]
		id := w.name()
		w.keyOf[id] = v.key(id)
		a := w.newAsk(s.a%fuzzVMs, id, "POST", w.path(s), deadlines[s.c%4])
		v.clock.jump.Add(int64(time.Duration(1+s.b%30) * time.Second))
		w.start(a, w.keyOf[id])
	},
	"suspend": func(w *world, s step) {
		w.fleet.vms[s.a%fuzzVMs].clock.jump.Add(int64(time.Duration(1+s.b%100) * time.Second))
	},
}

// weights tell how often each kind of command is drawn.
var weights = map[string]int{
	"lookup": 8, "booking": 4, "keyed": 10, "resend": 10, "poison": 2, "advance": 12, "hour": 1, "mode": 8,
	"restart": 1, "silence": 2, "deaf": 1, "cut": 1, "quiet": 1, "heal": 2, "replace": 1, "suspend": 2, "sleeper": 1,
}

func (w *world) name() string { return "r" + strconv.Itoa(len(w.oracle.asks)) }

func (w *world) path(s step) string {
	if s.b%8 == 7 {
		return longPath
	}
	return "/short"
}

// resend sends an earlier keyed request again, through any VM.
func resend(w *world, s step) {
	if len(w.keys()) == 0 {
		return
	}
	earlier := w.keys()[s.b%len(w.keys())]
	w.send(s.a%fuzzVMs, earlier.id, "POST", earlier.path, w.keyOf[earlier.id], deadlines[s.c%4])
}

// keys returns the latest keyed requests.
func (w *world) keys() []*ask {
	var keyed []*ask
	for _, a := range w.oracle.asks {
		if _, ok := w.keyOf[a.id]; ok {
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

// fuzz runs command sequences and returns the number of steps and the violations.
func fuzz(t *testing.T, seed int64, runs int, broken mutation) (steps int, tally map[string]int, violations []string) {
	tally = make(map[string]int)
	synctest.Test(t, func(*testing.T) {
		proto := &commands.ProtoCommands{
			NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest { return newWorld(broken) },
			DestroySystemUnderTestFunc: func(sut commands.SystemUnderTest) {
				w := sut.(*world)
				steps += len(w.steps)
				if found := w.settle(); len(found) > 0 {
					violations = append(violations, fmt.Sprint(found, w.steps))
				}
				w.oracle.count(tally)
			},
			InitialStateGen: gen.Const(0),
			GenCommandFunc:  genStep,
		}
		parameters := gopter.DefaultTestParametersWithSeed(seed)
		parameters.MinSuccessfulTests = runs
		parameters.MinSize, parameters.MaxSize = fuzzLength, fuzzLength
		parameters.MaxShrinkCount = 0
		if result := commands.Prop(proto).Check(parameters); !result.Passed() {
			violations = append(violations, fmt.Sprint("gopter: ", result.Status, result.Error))
		}
	})
	return steps, tally, violations
}

// TestPromisesHoldUnderFaults is the stateful fuzz.
func TestPromisesHoldUnderFaults(t *testing.T) {
	steps, tally, violations := fuzz(t, *fuzzSeed, *fuzzRuns, mutation{})
	t.Logf("%d steps in %d sequences, seed %d: %v", steps, *fuzzRuns, *fuzzSeed, tally)
	if tally["answered"]*4 < steps/4 {
		t.Errorf("only %d requests were answered", tally["answered"])
	}
	for _, violation := range violations {
		t.Error(violation)
	}
}
