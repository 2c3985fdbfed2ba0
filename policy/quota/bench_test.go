package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures one request with 30 VMs that serve callers.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{79, 3800, 38000} {
		b.Run(fmt.Sprint("customers=", customers), func(b *testing.B) {
			table := NewTable(start-time.Minute, specified)
			table.SetServing(start, heardVMs(29))
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprint("customer-", i)
			}
			limit := Limit{Rate: 100, Burst: 100}
			n := 0
			b.ReportAllocs()
			for b.Loop() {
				table.Admit(start+time.Duration(n)*time.Microsecond, names[n%customers], limit)
				n++
			}
		})
	}
}

// BenchmarkMerge measures a datagram with the most reports.
func BenchmarkMerge(b *testing.B) {
	table := NewTable(start-time.Minute, specified)
	table.SetServing(start, heardVMs(29))
	reports := make([]Report, MaxReports)
	limits := oneLimit(Limit{Rate: 100, Burst: 100})
	n := 0
	for b.Loop() {
		n++
		for i := range reports {
			reports[i] = Report{Customer: Customer(i), Admitted: uint64(n)}
		}
		table.Merge(start+time.Duration(n)*time.Millisecond, fmt.Sprint(n%29), 1, reports, limits)
	}
}
