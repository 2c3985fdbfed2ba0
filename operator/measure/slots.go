package measure

import (
	"fmt"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/policy/admission"
	"github.com/primroseloom/primroseloom/policy/balance"
	"github.com/primroseloom/primroseloom/policy/health"
)

// SlotSharing names a method of sharing the targets' slots among VMs.
type SlotSharing string

// The methods that are compared.
const (
	// SharingTwoChoices picks the less busy of two targets, by the VM's own attempts
	// and load reports, and leaves queueing to the targets.
	SharingTwoChoices SlotSharing = "two-choices"
	// SharingWindow also limits the VM's requests in progress to a window that
	// shrinks when a target sheds a request.
	SharingWindow SlotSharing = "window"
	// SharingPartition gives each VM an equal share of the slots; beyond it, a VM
	// may use slots as far as its window allows.
	SharingPartition SlotSharing = "partition"
	// SharingLeases leases each slot from a lessor, one of the VMs.
	SharingLeases SlotSharing = "leases"
)

// slotState is the state that the chooser and the admission of one VM share.
type slotState struct {
	config   *DeciderConfig
	sharing  SlotSharing
	balancer *balance.Balancer
	window   *balance.Window
	lessee   *balance.Lessee
	lessor   *balance.Lessor
	weights  []float64
	inFlight int
	// chosen is unused.
	chosen map[uint64]bool
	// chosenTarget is the target whose slot Choose has taken and for which
	// Started is not yet called; -1 for none.
	chosenTarget int
	// granted holds, by request ID, the target of the leased slot of a request that
	// is not yet sent. leased holds, by target, the IDs of the requests whose slots
	// the lessor knows of: leased, or reported by reportTaken. ready holds the
	// requests that have got a lease and are next to be sent; waiting holds the
	// requests not yet sent.
	granted map[uint64]int
	leased  map[int][]uint64
	ready   []*Request
	waiting map[uint64]*waitingRequest

	queue           *admission.FairQueue[*Request]
	drain           admission.DrainEstimator
	customers       *admission.Customers
	customerConfigs []Customer
	outbox          []Message
}

// waitingRequest is a queued request with its queue entry.
type waitingRequest struct {
	request *Request
	entry   *admission.Entry[*Request]
}

// epoch is the wall time of the start of a run, for deciders that use wall time.
var epoch = time.Unix(0, 0)

// wallTime converts the time since the start of the run to wall time.
func wallTime(now time.Duration) time.Time { return epoch.Add(now) }

// maxNames is the number of names that are formatted in advance.
const maxNames = 1024

// targetNames and vmNames hold the names of targets and VMs by index.
var targetNames, vmNames = makeNames("t%03d"), makeNames("vm%02d")

func makeNames(format string) []string {
	names := make([]string, maxNames)
	for i := range names {
		names[i] = fmt.Sprintf(format, i)
	}
	return names
}

func targetName(target int) string { return targetNames[target] }
func vmName(vm int) string         { return vmNames[vm] }

func targetIndex(name string) int {
	return slices.Index(targetNames, name)
}

// sharedSlotState returns the shared state of a VM's deciders, and creates it at the first call.
func sharedSlotState(config *DeciderConfig, sharing SlotSharing) *slotState {
	if shared, ok := config.Shared.(*slotState); ok {
		return shared
	}
	total := float64(config.Targets * config.Slots)
	shared := &slotState{
		config: config, sharing: sharing, chosenTarget: -1,
		balancer: balance.NewBalancer(),
		window:   balance.NewWindow(total/float64(config.VMs), total),
		chosen:   make(map[uint64]bool), granted: make(map[uint64]int),
		leased: make(map[int][]uint64), waiting: make(map[uint64]*waitingRequest),
		queue: admission.NewFairQueue[*Request](), customers: admission.NewCustomers(),
		customerConfigs: config.Scenario.Customers,
	}
	shared.balancer.Configure(shared.targets())
	if sharing == SharingLeases {
		shared.lessee = balance.NewLessee(vmName(config.VM))
		var order []string
		for vm := range config.VMs {
			order = append(order, vmName(vm))
		}
		shared.lessee.Configure(order)
	}
	config.Shared = shared
	return shared
}

// targets returns the targets as the balancer and the lessor take them.
func (s *slotState) targets() []balance.Target {
	var targets []balance.Target
	limit := s.config.Slots
	if s.sharing == SharingTwoChoices || s.sharing == SharingWindow {
		limit *= queuePerSlot
	}
	for i := range s.config.Targets {
		zone := fmt.Sprint(s.config.TargetZone(i))
		targets = append(targets, balance.Target{Name: targetName(i), Zone: zone, Limit: limit, Slots: s.config.Slots})
	}
	return targets
}

// applyWeights passes the weights from the VM's Health to the balancer and the lessor.
func (s *slotState) applyWeights(weights []float64) {
	if slices.Equal(s.weights, weights) {
		return
	}
	s.weights = slices.Clone(weights)
	for i, weight := range weights {
		s.balancer.SetCondition(targetName(i), balance.Condition{Weight: weight})
		if s.lessor != nil {
			s.lessor.SetCondition(targetName(i), balance.Condition{Weight: weight})
		}
	}
}

// criteria returns the criteria for the target of a request.
func (s *slotState) criteria(request *Request) balance.Criteria {
	criteria := balance.Criteria{Zone: fmt.Sprint(s.config.VMZone(s.config.VM)), Idempotent: true}
	for _, target := range request.Exclude {
		criteria.Exclude = append(criteria.Exclude, targetName(target))
	}
	return criteria
}

// choosesLocally reports whether the VM now chooses targets without a lease.
func (s *slotState) choosesLocally(now time.Duration) bool {
	return s.lessee == nil || s.lessee.ChoosesLocally() || s.lessee.Optimistic(wallTime(now))
}

// mayStart reports whether the VM may start one more request without a lease.
func (s *slotState) mayStart(now time.Duration) bool {
	switch s.sharing {
	case SharingTwoChoices:
		return true
	case SharingWindow:
		return s.window.Allows(s.inFlight)
	case SharingPartition:
		ownShare := float64(s.config.Targets*s.config.Slots) / float64(s.config.VMs)
		return float64(s.inFlight) < max(ownShare, 1) || s.window.Allows(s.inFlight)
	}
	return s.lessee.Optimistic(wallTime(now)) || s.window.Allows(s.inFlight)
}

// slotChooser implements Chooser, Ticker and Messenger. It shares its state with
// the VM's slotAdmission.
type slotChooser struct{ *slotState }

// Choose implements Chooser.
func (c slotChooser) Choose(now time.Duration, request *Request, weights []float64) (int, bool) {
	c.applyWeights(weights)
	if target, ok := c.granted[request.ID]; ok {
		delete(c.granted, request.ID)
		if weights[target] > 0 {
			c.balancer.TakeNamed(targetName(target))
			c.leased[target] = append(c.leased[target], request.ID)
			c.chosenTarget = target
			return target, true
		}
		c.lessee.Finish(request.ID)
	}
	if !c.choosesLocally(now) && request.Attempts == 0 || !c.mayStart(now) {
		return 0, false
	}
	name, ok := c.balancer.Take(c.config.Random, c.criteria(request))
	if !ok {
		return 0, false
	}
	target := targetIndex(name)
	c.chosenTarget = target
	c.reportTaken(request.ID, target)
	return target, true
}

// reportTaken reports a slot that was taken without a lease to the lessor.
func (c slotChooser) reportTaken(id uint64, target int) {
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
	if c.chosenTarget == target {
		c.chosenTarget = -1
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
		c.window.Shed(wallTime(now), c.config.Scenario.size.MeanTime)
	case health.Succeeded:
		c.window.Succeeded(c.inFlight)
	}
}

// Reported implements Chooser.
func (c slotChooser) Reported(_ time.Duration, target int, report LoadReport) {
	own := c.balancer.InFlight(targetName(target))
	c.balancer.SetOthersInFlight(targetName(target), float64(report.InFlight+report.Queued-own))
}

// SlotPolicy returns the project's policy with the given method of sharing
// slots, for comparison.
func SlotPolicy(sharing SlotSharing) Policy {
	policy := Policy{Name: string(sharing), Health: NewTrackerHealth, Retrier: NewRetrier}
	policy.Chooser = func(config *DeciderConfig) Chooser { return slotChooser{sharedSlotState(config, sharing)} }
	policy.Admission = func(config *DeciderConfig) Admission { return slotAdmission{sharedSlotState(config, sharing)} }
	return policy
}
