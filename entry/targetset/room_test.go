package targetset

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/entry/dialect"
	"github.com/primroseloom/primroseloom/entry/evidence"
	"github.com/primroseloom/primroseloom/policy/placement"
	"github.com/primroseloom/primroseloom/policy/suspicion"
)

// tableWith returns the routes of the service s with these priorities, and customers.
func tableWith(t *testing.T, customers []routing.Customer, priorities ...int) *routing.Table {
	t.Helper()
	document := routing.Document{Version: 1, Services: []routing.Service{{Name: "s"}}, Customers: customers}
	for i, priority := range priorities {
		document.Routes = append(document.Routes, routing.Route{
			Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: routing.KindOnce, MaxAttempts: 2, Priority: priority,
			Split: []routing.Share{{Service: "s", Weight: 1}},
		})
	}
	table, err := routing.Compile(document)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// overload sends twice as many requests as the targets can run, two of five of priority 0 and
// the others of priority 1, and returns the decisions.
func (f *fixture) overload(length time.Duration) (decisions []string) {
	const runTime, gap = 100 * time.Millisecond, 6250 * time.Microsecond
	type running struct {
		attempt *Attempt
		end     time.Duration
	}
	var inProgress []running
	free := make(map[string][]time.Duration)
	for i, end := 0, f.now+length; f.now < end; i, f.now = i+1, f.now+gap {
		inProgress = slices.DeleteFunc(inProgress, func(r running) bool {
			if r.end <= f.now {
				r.attempt.Done(served())
			}
			return r.end <= f.now
		})
		request := wanted(routing.KindOnce)
		if request.Priority = 1; i%5 < 2 {
			request.Priority = 0
		}
		attempt, err := f.Begin(request)
		if err != nil {
			decisions = append(decisions, fmt.Sprint(request.Priority, err))
			continue
		}
		decisions = append(decisions, fmt.Sprint(request.Priority, attempt.ID()))
		if free[attempt.ID()] == nil {
			free[attempt.ID()] = make([]time.Duration, 2)
		}
		slots := free[attempt.ID()]
		slot := 0
		if slots[1] < slots[0] {
			slot = 1
		}
		slots[slot] = max(slots[slot], f.now) + runTime
		inProgress = append(inProgress, running{attempt, slots[slot]})
	}
	for _, r := range inProgress {
		r.attempt.Done(served())
	}
	return decisions
}

// orderedFixture returns a fixture whose random choices are the same each time: its targets are
// ordered.
func orderedFixture(targets int) *fixture {
	f := newFixture(targets)
	slices.SortFunc(f.services["s"].targets, func(a, b *target) int { return strings.Compare(a.info.ID, b.info.ID) })
	return f
}

// TestEqualRanksAreDecidedAsWithoutRoom guards deployments without customers whose routes have
// one priority: under overload each decision is the one without the rules of package room.
func TestEqualRanksAreDecidedAsWithoutRoom(t *testing.T) {
	const length = 10 * time.Second
	without, equal, ranked := orderedFixture(4), orderedFixture(4), orderedFixture(4)
	equal.RoutesChanged(tableWith(t, nil, 1, 1))
	ranked.RoutesChanged(tableWith(t, nil, 0, 1))
	want, got, other := without.overload(length), equal.overload(length), ranked.overload(length)
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Error("routes of one priority change decisions")
	}
	if fmt.Sprint(other) == fmt.Sprint(want) {
		t.Error("routes of different priorities change no decision")
	}
}

// TestMoreUrgentRequestsAreServedUnderOverload guards against urgent requests that are refused
// while less urgent ones of the service are served.
func TestMoreUrgentRequestsAreServedUnderOverload(t *testing.T) {
	const minUrgentShare = 0.95
	f := newFixture(4)
	f.RoutesChanged(tableWith(t, nil, 0, 1))
	f.overload(10 * time.Second)
	served, refused := [2]int{}, [2]int{}
	for _, decision := range f.overload(20 * time.Second) {
		priority := int(decision[0] - '0')
		switch {
		case len(decision) <= len("0 t0"):
			served[priority]++
		default:
			refused[priority]++
		}
	}
	t.Logf("served %v, refused %v", served, refused)
	if share := float64(served[0]) / float64(served[0]+refused[0]); share < minUrgentShare {
		t.Errorf("%.3f of the urgent requests are served", share)
	}
	if served[1] == 0 {
		t.Error("no less urgent request is served beside them")
	}
}

// TestRefusalForLackOfRoomTellsWhenToComeBack checks the reason and the time of the refusal.
func TestRefusalForLackOfRoomTellsWhenToComeBack(t *testing.T) {
	f := newFixture(2)
	f.RoutesChanged(tableWith(t, []routing.Customer{{Name: "c", Keys: []routing.KeyDigest{routing.DigestKey("k")}}}, 1))
	f.SetInProgress("vm-2", map[string]int{"t0": 8, "t1": 8})
	_, err := f.Begin(wanted(routing.KindOnce))
	var refusal *Refusal
	if !errors.As(err, &refusal) || refusal.Reason != ReasonNoRoom || refusal.RetryAfter <= 0 {
		t.Errorf("refusal %+v", refusal)
	}
}

// refuseFull makes a target refuse an attempt of another VM while it holds 4 requests.
func (f *fixture) refuseFull(id string) {
	f.Observed("vm-2", evidence.AttemptEvidence{Target: id, RefusedFull: true, Load: &dialect.Load{Running: 2, Waiting: 2, Slots: 2}})
}

// TestTargetThatRefusedForLackOfRoomIsFullUntilAnAttemptEnds guards against attempts that are
// turned away one after the other by a target that has just refused, though the VMs count no
// attempts there: it runs the requests of callers who have left.
func TestTargetThatRefusedForLackOfRoomIsFullUntilAnAttemptEnds(t *testing.T) {
	f := newFixture(2)
	f.RoutesChanged(tableWith(t, nil, 0, 1))
	f.SetInProgress("vm-3", map[string]int{"t0": 1, "t1": 2})
	f.refuseFull("t0")
	f.now += maxLoadAge + time.Millisecond
	if attempt := f.begin(t, wanted(routing.KindOnce)); attempt.ID() != "t1" {
		t.Error("the attempt went to the full target")
	}
	f.SetInProgress("vm-3", map[string]int{"t1": 2})
	if attempt := f.begin(t, wanted(routing.KindOnce)); attempt.ID() != "t0" {
		t.Error("the target is not used although an attempt there has ended")
	}
	f.refuseFull("t0")
	f.now += 2 * defaultAttemptDuration
	f.SetInProgress("vm-3", map[string]int{"t1": 6})
	if attempt := f.begin(t, wanted(routing.KindOnce)); attempt.ID() != "t0" {
		t.Error("the target is not used although the work that it reported is done")
	}
}

// TestFullTargetsAreRememberedOnlyWhereRequestsDifferInRank guards deployments without ranks.
func TestFullTargetsAreRememberedOnlyWhereRequestsDifferInRank(t *testing.T) {
	f := newFixture(2)
	f.RoutesChanged(tableWith(t, nil, 1, 1))
	f.SetInProgress("vm-3", map[string]int{"t1": 1})
	f.refuseFull("t0")
	f.now += maxLoadAge + time.Millisecond
	if attempt := f.begin(t, wanted(routing.KindOnce)); attempt.ID() != "t0" {
		t.Errorf("the attempt went to %s", attempt.ID())
	}
}

// TestRefusedAttemptEndsNothingAtItsTarget guards against a full target that counts as free
// since the attempt that it refused has ended.
func TestRefusedAttemptEndsNothingAtItsTarget(t *testing.T) {
	f := newFixture(1)
	f.RoutesChanged(tableWith(t, nil, 0, 1))
	attempt := f.begin(t, wanted(routing.KindOnce))
	attempt.Done(Result{End: suspicion.ResultNeutral, Sent: true, RefusedFull: true, Load: &dialect.Load{Running: 2, Slots: 2}})
	f.now += maxLoadAge + time.Millisecond
	var refusal *Refusal
	if _, err := f.Begin(wanted(routing.KindOnce)); !errors.As(err, &refusal) || refusal.Reason != placement.ReasonFull || refusal.RetryAfter <= 0 {
		t.Errorf("refusal %+v, want %s", refusal, placement.ReasonFull)
	}
}
