package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/health"
)

// SlotSharing names a way to share the targets' slots between VMs.
type SlotSharing string

// The ways that are weighed.
const (
	// SharingTwoChoices takes the less busy of two targets by local knowledge and
	// load reports, and leaves queueing to the targets.
	SharingTwoChoices SlotSharing = "two-choices"
	// SharingWindow adds a window of requests in progress that sheds shrink.
	SharingWindow SlotSharing = "window"
	// SharingPartition gives each VM an even share of the slots; it borrows more as
	// far as its window allows.
	SharingPartition SlotSharing = "partition"
	// SharingLeases asks a keeper for each slot.
	SharingLeases SlotSharing = "leases"
)

// slots is the state that chooser and admission of one VM share.
type slots struct {
	setting  *DeciderConfig
	way      SlotSharing
	balancer *balance.Balancer
	window   *balance.Window
	lessee   *balance.Lessee
	keeper   *balance.Lessor
	weights  []float64
	inFlight int
	// chosen holds the target that Choose counted and Started has yet to confirm.
	chosen map[uint64]bool
	preset int
	// granted holds leases of requests not yet sent, leased those in use by target.
	granted map[uint64]int
	leased  map[int][]uint64
	ready   []*Request
	waiting map[uint64]*waitingRequest

	queue     *admission.FairQueue[*Request]
	drain     admission.DrainEstimator
	customers *admission.Customers
	settings  []Customer
	outbox    []Message
}

type waitingRequest struct {
	request *Request
	entry   *admission.Entry[*Request]
}

// epoch is the time at which runs begin, for deciders that use wall time.
var epoch = time.Unix(0, 0)

func at(now time.Duration) time.Time { return epoch.Add(now) }

// nameLimit bounds the names that are made beforehand.
const nameLimit = 1024

var targetNames, vmNames = makeNames("t%03d"), makeNames("vm%02d")

func makeNames(format string) []string {
	names := make([]string, nameLimit)
	for i := range names {
		names[i] = fmt.Sprintf(format, i)
	}
	return names
}

func targetName(target int) string { return targetNames[target] }
func vmName(vm int) string         { return vmNames[vm] }

func indexOf(name string) int {
	return slices.Index(targetNames, name)
}

// slotsOf returns the shared state of a VM's deciders.
func slotsOf(s *DeciderConfig, way SlotSharing) *slots {
	if shared, ok := s.Shared.(*slots); ok {
		return shared
	}
	total := float64(s.Targets * s.Slots)
	shared := &slots{
		setting: s, way: way, preset: -1,
		balancer: balance.NewBalancer(),
		window:   balance.NewWindow(total/float64(s.VMs), total),
		chosen:   make(map[uint64]bool), granted: make(map[uint64]int),
		leased: make(map[int][]uint64), waiting: make(map[uint64]*waitingRequest),
		queue: admission.NewFairQueue[*Request](), customers: admission.NewCustomers(),
		settings: s.Scenario.Customers,
	}
	shared.balancer.Configure(shared.targets())
	if way == SharingLeases {
		shared.lessee = balance.NewLessee(vmName(s.VM))
		var order []string
		for vm := range s.VMs {
			order = append(order, vmName(vm))
		}
		shared.lessee.Configure(order)
	}
	s.Shared = shared
	return shared
}

func (s *slots) targets() []balance.Target {
	var targets []balance.Target
	limit := s.setting.Slots
	if s.way == SharingTwoChoices || s.way == SharingWindow {
		limit *= queuePerSlot
	}
	for i := range s.setting.Targets {
		zone := fmt.Sprint(s.setting.TargetZone(i))
		targets = append(targets, balance.Target{Name: targetName(i), Zone: zone, Limit: limit, Slots: s.setting.Slots})
	}
	return targets
}

// weigh hands the weights of the VM's judge to the balancer and the keeper.
func (s *slots) weigh(weights []float64) {
	if slices.Equal(s.weights, weights) {
		return
	}
	s.weights = slices.Clone(weights)
	for i, weight := range weights {
		s.balancer.SetCondition(targetName(i), balance.Condition{Weight: weight})
		if s.keeper != nil {
			s.keeper.SetCondition(targetName(i), balance.Condition{Weight: weight})
		}
	}
}

func (s *slots) want(request *Request) balance.Criteria {
	want := balance.Criteria{Zone: fmt.Sprint(s.setting.VMZone(s.setting.VM)), Idempotent: true}
	for _, target := range request.Exclude {
		want.Exclude = append(want.Exclude, targetName(target))
	}
	return want
}

// local reports whether the VM chooses by itself now.
func (s *slots) local(now time.Duration) bool {
	return s.lessee == nil || s.lessee.ChoosesLocally() || s.lessee.Optimistic(at(now))
}

// mayTake reports whether the VM may start one more request by itself.
func (s *slots) mayTake(now time.Duration) bool {
	switch s.way {
	case SharingTwoChoices:
		return true
	case SharingWindow:
		return s.window.Allows(s.inFlight)
	case SharingPartition:
		own := float64(s.setting.Targets*s.setting.Slots) / float64(s.setting.VMs)
		return float64(s.inFlight) < max(own, 1) || s.window.Allows(s.inFlight)
	}
	return s.lessee.Optimistic(at(now)) || s.window.Allows(s.inFlight)
}

// slotChooser implements Chooser over the shared state.
type slotChooser struct{ *slots }

// Choose implements Chooser.
func (c slotChooser) Choose(now time.Duration, request *Request, weights []float64) (int, bool) {
	c.weigh(weights)
	if target, ok := c.granted[request.ID]; ok {
		delete(c.granted, request.ID)
		if weights[target] > 0 {
			c.balancer.TakeNamed(targetName(target))
			c.leased[target] = append(c.leased[target], request.ID)
			c.preset = target
			return target, true
		}
		c.lessee.Finish(request.ID)
	}
	if !c.local(now) && request.Attempts == 0 || !c.mayTake(now) {
		return 0, false
	}
	name, ok := c.balancer.Take(c.setting.Random, c.want(request))
	if !ok {
		return 0, false
	}
	target := indexOf(name)
	c.preset = target
	c.report(request.ID, target)
	return target, true
}

// report tells the keeper of a slot taken without asking.
func (c slotChooser) report(id uint64, target int) {
	if c.lessee == nil {
		return
	}
	if slices.Contains(c.leased[target], id) {
		return
	}
	c.lessee.ReportTaken(id, targetName(target))
	c.leased[target] = append(c.leased[target], id)
}

// Started implements Chooser.
func (c slotChooser) Started(_ time.Duration, target int) {
	c.inFlight++
	if c.preset == target {
		c.preset = -1
		return
	}
	c.balancer.TakeNamed(targetName(target))
}

// Ended implements Chooser.
func (c slotChooser) Ended(now time.Duration, target int, kind health.Kind) {
	c.inFlight--
	c.balancer.Return(targetName(target))
	if held := c.leased[target]; len(held) > 0 {
		c.lessee.Finish(held[0])
		c.leased[target] = held[1:]
	}
	switch kind {
	case health.Shed:
		if c.lessee != nil {
			c.lessee.ReportShed(targetName(target))
		}
		c.window.Shed(at(now), c.setting.Scenario.size.MeanTime)
	case health.Succeeded:
		c.window.Succeeded(c.inFlight)
	}
}

// Reported implements Chooser.
func (c slotChooser) Reported(_ time.Duration, target int, report LoadReport) {
	own := c.balancer.InFlight(targetName(target))
	c.balancer.SetOthersInFlight(targetName(target), float64(report.InFlight+report.Queued-own))
}

// SlotPolicy returns a policy that shares slots in a given way, for comparison.
func SlotPolicy(way SlotSharing) Policy {
	policy := Policy{Name: string(way), Health: NewTrackerHealth, Retrier: NewRetrier}
	policy.Chooser = func(s *DeciderConfig) Chooser { return slotChooser{slotsOf(s, way)} }
	policy.Admission = func(s *DeciderConfig) Admission { return slotAdmission{slotsOf(s, way)} }
	return policy
}
