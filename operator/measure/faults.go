package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
)

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultDead makes targets refuse connections and resets their requests in progress.
	FaultDead FaultKind = "dead"
	// FaultHung makes targets send no responses.
	FaultHung FaultKind = "hung"
	// FaultSlow multiplies the service time of a share of the requests.
	FaultSlow FaultKind = "slow"
	// FaultErrors makes a share of the requests fail.
	FaultErrors FaultKind = "errors"
	// FaultWrong makes targets answer every request wrongly, at normal speed.
	FaultWrong FaultKind = "wrong"
	// FaultProbeUnhealthy makes the health endpoint always report unhealthy.
	FaultProbeUnhealthy FaultKind = "probe_sick"
	// FaultProbeHealthy makes the health endpoint always report healthy.
	FaultProbeHealthy FaultKind = "probe_healthy"
	// FaultPartitionVM drops the responses of all targets and all peer messages to some VMs.
	FaultPartitionVM FaultKind = "partition_vm"
	// FaultPartitionZone drops the responses of one zone's targets to another zone's VMs.
	FaultPartitionZone FaultKind = "partition_zone"
	// FaultVMDies stops VMs until the end of the run; callers use other VMs.
	FaultVMDies FaultKind = "vm_dies"
	// FaultVMPauses stops VMs until the fault's end; they resume with the state they had.
	FaultVMPauses FaultKind = "vm_pauses"
	// FaultDrain drains targets; they start cold at the fault's end.
	FaultDrain FaultKind = "drain"
	// FaultCustomerSurge multiplies a customer's rate.
	FaultCustomerSurge FaultKind = "customer_surge"
	// FaultCustomerErrors makes a share of a customer's requests fail on every target.
	FaultCustomerErrors FaultKind = "customer_errors"
	// FaultReconfigure changes the customers' parameters at each start and end of the fault; see Period.
	FaultReconfigure FaultKind = "reconfigure"
)

// Fault is one entry of the timeline.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// At and Until are times after the warm-up; Until 0 lasts to the end.
	At    document.Duration `json:"at"`
	Until document.Duration `json:"until"`
	// Count or Fraction says how many targets or VMs are affected, chosen at random.
	Count    int     `json:"count"`
	Fraction float64 `json:"fraction"`
	// Members names the targets or VMs affected by index, in place of a random
	// choice; VM 0 is the first candidate for lessor.
	Members []int `json:"members,omitempty"`
	// Factor multiplies service times or rates.
	Factor float64 `json:"factor"`
	// Share is the share of the requests affected; 0 means all.
	Share float64 `json:"share"`
	// Period, when set, toggles the fault on and off, half a period each.
	Period document.Duration `json:"period"`
	// FromZone and ToZone are the zones of a partition: responses of FromZone's
	// targets do not reach ToZone's VMs.
	FromZone int `json:"from_zone"`
	ToZone   int `json:"to_zone"`
	// Customer is the index of the customer affected.
	Customer int `json:"customer"`
}

func (f *Fault) validate() error {
	switch f.Kind {
	case FaultDead, FaultHung, FaultSlow, FaultErrors, FaultWrong, FaultProbeUnhealthy, FaultProbeHealthy,
		FaultPartitionVM, FaultPartitionZone, FaultVMDies, FaultVMPauses, FaultDrain,
		FaultCustomerSurge, FaultCustomerErrors, FaultReconfigure:
	default:
		return fmt.Errorf("kind %q is unknown", f.Kind)
	}
	if f.Until != 0 && f.Until <= f.At {
		return fmt.Errorf("until %s: want more than at %s", f.Until.Std(), f.At.Std())
	}
	if f.Share < 0 || f.Share > 1 || f.Fraction < 0 || f.Fraction > 1 {
		return fmt.Errorf("share %g and fraction %g: want 0 to 1", f.Share, f.Fraction)
	}
	needsFactor := f.Kind == FaultSlow || f.Kind == FaultCustomerSurge
	if needsFactor && f.Factor <= 0 {
		return fmt.Errorf("factor %g: want more than 0", f.Factor)
	}
	return nil
}

// share returns the share of requests affected.
func (f *Fault) share() float64 {
	if f.Share == 0 {
		return 1
	}
	return f.Share
}

// makesTargetFaulty reports whether the fault makes targets fail or delay requests.
func (f *Fault) makesTargetFaulty() bool {
	switch f.Kind {
	case FaultDead, FaultHung, FaultSlow, FaultErrors, FaultWrong:
		return true
	}
	return false
}

// activeFault is a fault of a run with the targets or VMs that it affects.
type activeFault struct {
	*Fault
	members []bool
	on      bool
	start   time.Duration
	end     time.Duration
}

// planFaults chooses the members of each fault and its start and end in virtual time.
func planFaults(s *Scenario, end time.Duration, random *rand.Rand) []*activeFault {
	var faults []*activeFault
	for i := range s.Faults {
		fault := &s.Faults[i]
		population := s.size.Targets
		switch fault.Kind {
		case FaultPartitionVM, FaultVMDies, FaultVMPauses:
			population = s.size.VMs
		}
		active := &activeFault{Fault: fault, members: pickMembers(fault, population, random), end: end}
		active.start = s.Warmup.Std() + fault.At.Std()
		if fault.Until != 0 {
			active.end = min(end, s.Warmup.Std()+fault.Until.Std())
		}
		faults = append(faults, active)
	}
	return faults
}

// pickMembers chooses which targets or VMs of a population a fault affects.
func pickMembers(f *Fault, population int, random *rand.Rand) []bool {
	count := f.Count
	if f.Fraction > 0 {
		count = max(1, int(f.Fraction*float64(population)))
	}
	if count == 0 {
		count = 1
	}
	members := make([]bool, population)
	if len(f.Members) > 0 {
		for _, i := range f.Members {
			members[i%population] = true
		}
		return members
	}
	for _, i := range random.Perm(population)[:min(count, population)] {
		members[i] = true
	}
	return members
}
