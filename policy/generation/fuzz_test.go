package generation

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/commands"
	"github.com/leanovate/gopter/gen"
)

// instances is the number of instances of the fuzzed fleet.
const instances = 4

// subject is the tested decider; a mutation overrides part of its methods.
type subject interface {
	Offer(Root, Source) Decision
	Next(time.Time) (Root, bool)
	MarkInForce(Root) bool
	InForce() Root
}

// unguarded puts every chosen root in force, like a process that does not check
// the root in force again after a pause.
type unguarded struct{ *Decider }

func (u unguarded) MarkInForce(root Root) bool {
	u.inForce = root
	return true
}

// trusting treats every offered root as newer.
type trusting struct{ *Decider }

func (u trusting) Offer(root Root, _ Source) Decision {
	u.newest, u.inForce = root, Root{}
	return Newer
}

// world is the fuzzed system: instances, each with a root that it chose and
// has not put in force yet, and the history of publications.
type world struct {
	newSubject func() subject
	subjects   [instances]subject
	// chosen holds two roots, since a paused worker may resume while the one that
	// was started in its place is running.
	chosen    [instances][2]Root
	cut       [instances][instances]bool
	published []Root
	now       time.Time
}

// model is the oracle: the oldest root that each instance may have in force, and
// the number of published roots.
type model struct {
	oldestAllowed [instances]Root
	published     int
}

// step is one command; the numbers are taken modulo what they choose from.
type step struct {
	kind, who, other, age int
}

// The kinds of steps.
const (
	stepPublish = iota
	stepReadPlatform
	stepQueryPeer
	stepChoose
	stepPutInForce
	stepRestart
	stepCut
	stepWait
	stepKinds
)

type observation struct {
	inForce [instances]Root
}

func (s step) Run(sut commands.SystemUnderTest) commands.Result {
	w := sut.(*world)
	switch s.kind {
	case stepPublish:
		number := uint64(len(w.published) + 1)
		w.published = append(w.published, Root{number, fmt.Sprint("d", number)})
	case stepReadPlatform:
		if at := len(w.published) - 1 - s.age; at >= 0 {
			w.subjects[s.who].Offer(w.published[at], FromPlatform)
		}
	case stepQueryPeer:
		if root := w.subjects[s.other].InForce(); root != (Root{}) && !w.cut[s.other][s.who] {
			w.subjects[s.who].Offer(root, FromPeer)
		}
	case stepChoose:
		w.chosen[s.who][s.age%2], _ = w.subjects[s.who].Next(w.now)
	case stepPutInForce:
		if root := w.chosen[s.who][s.age%2]; root != (Root{}) {
			w.subjects[s.who].MarkInForce(root)
		}
	case stepRestart:
		w.subjects[s.who] = w.newSubject()
		w.chosen[s.who] = [2]Root{}
	case stepCut:
		w.cut[s.other][s.who] = !w.cut[s.other][s.who]
	case stepWait:
		w.now = w.now.Add(StartWait)
	}
	var seen observation
	for i, each := range w.subjects {
		seen.inForce[i] = each.InForce()
	}
	return seen
}

func (s step) NextState(state commands.State) commands.State {
	next := state.(model)
	if s.kind == stepPublish {
		next.published++
	}
	if s.kind == stepRestart {
		next.oldestAllowed[s.who] = Root{}
	}
	return next
}

func (s step) PreCondition(commands.State) bool { return true }

func (s step) PostCondition(state commands.State, result commands.Result) *gopter.PropResult {
	oracle := state.(model)
	seen := result.(observation)
	for i, root := range seen.inForce {
		decreased := Compare(root, oracle.oldestAllowed[i]) < 0
		if decreased || root.Generation > uint64(oracle.published) {
			return &gopter.PropResult{Status: gopter.PropFalse}
		}
	}
	return &gopter.PropResult{Status: gopter.PropTrue}
}

func (s step) String() string {
	return fmt.Sprintf("{kind %d who %d other %d age %d}", s.kind, s.who, s.other, s.age)
}

// observed checks a step against the roots in force before it.
type observed struct {
	step
	inForceBefore *[instances]Root
}

func (o observed) PostCondition(state commands.State, result commands.Result) *gopter.PropResult {
	oracle := state.(model)
	oracle.oldestAllowed = *o.inForceBefore
	if o.kind == stepRestart {
		oracle.oldestAllowed[o.who] = Root{}
	}
	checked := o.step.PostCondition(oracle, result)
	*o.inForceBefore = result.(observation).inForce
	return checked
}

func rootInForceNeverDecreases(newSubject func() subject) gopter.Prop {
	inForceBefore := new([instances]Root)
	genStep := gopter.CombineGens(
		gen.IntRange(0, stepKinds-1), gen.IntRange(0, instances-1), gen.IntRange(0, instances-1), gen.IntRange(0, 3),
	).Map(func(values []interface{}) commands.Command {
		chosen := step{kind: values[0].(int), who: values[1].(int), other: values[2].(int), age: values[3].(int)}
		return observed{step: chosen, inForceBefore: inForceBefore}
	})
	return commands.Prop(&commands.ProtoCommands{
		NewSystemUnderTestFunc: func(commands.State) commands.SystemUnderTest {
			*inForceBefore = [instances]Root{}
			w := &world{newSubject: newSubject, now: origin}
			for i := range w.subjects {
				w.subjects[i] = newSubject()
			}
			return w
		},
		InitialStateGen: gen.Const(model{}),
		GenCommandFunc:  func(commands.State) gopter.Gen { return genStep },
	})
}

func run(newSubject func() subject) *gopter.TestResult {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 400
	parameters.MaxSize = 200
	return rootInForceNeverDecreases(newSubject).Check(parameters)
}

func TestRootInForceNeverDecreases(t *testing.T) {
	result := run(func() subject { return NewDecider(origin) })
	if !result.Passed() {
		t.Fatalf("%v", result.Labels)
	}
}

func TestPropertyDetectsDecidersThatAcceptOlderRoots(t *testing.T) {
	mutations := map[string]func() subject{
		"puts a root in force without checking its order": func() subject { return unguarded{NewDecider(origin)} },
		"accepts every offer":                             func() subject { return trusting{NewDecider(origin)} },
	}
	for name, mutation := range mutations {
		if run(mutation).Passed() {
			t.Errorf("the mutation that %s passes", name)
		}
	}
}
