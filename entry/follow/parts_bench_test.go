package follow

import (
	"testing"

	"github.com/primroseloom/primroseloom/entry/contract"
)

// BenchmarkListingInParts measures what a listing of the size to design for costs both ends, without
// marshalling and the network, and without applying it.
func BenchmarkListingInParts(b *testing.B) {
	feeder := newFed(nil)
	feeder.apply(largeListing(), contract.StorePosition{})
	link := &boundedLink{to: feeder}
	peers := &Peers{Fleet: "f", Members: linkView{"vm-2": link}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := peers.Fetch(b.Context(), "vm-2", contract.Announcement{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(link.calls)/float64(b.N), "parts/op")
}
