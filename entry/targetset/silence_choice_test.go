package targetset

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// TestVMsProbeDifferentTargets guards against a service that is slow everywhere, of which all VMs
// probe the same three targets at the same time.
func TestVMsProbeDifferentTargets(t *testing.T) {
	const targets = 20
	probed := make(map[string]bool)
	for vm := range uint64(10) {
		f := newFixture(targets)
		f.random = rand.New(rand.NewPCG(vm, 0))
		for i := range targets {
			f.now += 10 * time.Millisecond
			f.Observed("vm-2", servedBy("t"+strconv.Itoa(i)))
		}
		f.mu.Lock()
		for _, p := range f.selectProbes(f.services["s"], f.now) {
			probed[p.id] = true
		}
		f.mu.Unlock()
	}
	if len(probed) <= maxPathChecks {
		t.Errorf("ten VMs that heard the same probe %v only, of %d targets that answer", slices.Sorted(maps.Keys(probed)), targets)
	}
}
