package admission

import "time"

const (
	// UsageStaleAfter is the age at which a VM's report of use no longer counts.
	UsageStaleAfter = 3 * time.Second
	// reservedShare is the part of a customer's limits that is divided evenly
	// whatever the use, so that a VM newly used can serve at once.
	reservedShare = 0.25
)

// UsageReport is one VM's report of a customer's requests.
type UsageReport struct {
	// Rate is what the customer's callers ask of the VM, in requests a second,
	// refused ones included.
	Rate float64
	// Age is the time since the report was received.
	Age time.Duration
}

// LimitShare returns the share of a customer's limits that falls to this VM, from
// its own use and the reports of the other VMs of the customer's set. VMs is
// the size of that set.
//
// A fixed part is divided evenly and the rest follows use. While a VM's report
// is missing or stale, that VM is taken to use an even share and this VM takes
// no more than its own even share of the rest: on both sides of a partition the
// shares then sum up to one within UseStaleAfter.
func LimitShare(vms int, own float64, others []UsageReport) float64 {
	if vms <= 1 {
		return 1
	}
	even := 1 / float64(vms)
	total, heard := own, 0
	for _, other := range others {
		if other.Age <= UsageStaleAfter {
			total += other.Rate
			heard++
		}
	}
	if total <= 0 {
		return even
	}
	// The VMs that were heard divide what is not held for the silent ones.
	present := float64(min(heard+1, vms)) * even
	return reservedShare*even + (1-reservedShare)*present*own/total
}
