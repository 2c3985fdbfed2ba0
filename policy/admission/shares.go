package admission

import "time"

const (
	// UsageStaleAfter is the age above which a VM's usage report no longer counts.
	UsageStaleAfter = 3 * time.Second
	// evenlyDividedShare is the fraction of a customer's limits that is divided
	// evenly whatever the usage, so that a VM that gets its first requests can serve
	// them at once.
	evenlyDividedShare = 0.25
)

// UsageReport is one VM's report of a customer's requests.
type UsageReport struct {
	// Rate is the request rate of the customer's callers at the VM, in requests per
	// second, including refused ones.
	Rate float64
	// Age is the time since the report was received.
	Age time.Duration
}

// LimitShare returns this VM's share of a customer's limits, computed from its
// own request rate and the reports of the other VMs that serve the customer. The
// number of VMs that serve the customer, including this one, is vms.
//
// A fixed part of the limits is divided evenly and the rest in proportion to
// usage. A VM whose report is missing or stale keeps an even share reserved: the
// VMs with reports divide only their own even shares. During a partition the
// shares of all VMs therefore sum to at most one, after UsageStaleAfter at the
// latest.
func LimitShare(vms int, ownRate float64, others []UsageReport) float64 {
	if vms <= 1 {
		return 1
	}
	even := 1 / float64(vms)
	totalRate, reporting := ownRate, 0
	for _, other := range others {
		if other.Age <= UsageStaleAfter {
			totalRate += other.Rate
			reporting++
		}
	}
	if totalRate <= 0 {
		return even
	}
	// The reporting VMs and this one divide what is not reserved for silent VMs.
	presentShare := float64(min(reporting+1, vms)) * even
	return evenlyDividedShare*even + (1-evenlyDividedShare)*presentShare*ownRate/totalRate
}
