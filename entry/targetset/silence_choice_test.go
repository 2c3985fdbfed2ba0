package targetset

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// TestVMsAskDifferentTargets guards against a service that is slow everywhere, of which all VMs
// ask the same three targets at the same time.
func TestVMsAskDifferentTargets(t *testing.T) {
	const targets = 20
	asked := make(map[string]bool)
	for vm := range uint64(10) {
		f := newFixture(targets)
		f.random = rand.New(rand.NewPCG(vm, 0))
		for i := range targets {
			f.now += 10 * time.Millisecond
			f.Observed("vm-2", servedBy("t"+strconv.Itoa(i)))
		}
		f.mu.Lock()
		for _, q := range f.questions(f.services["s"], f.now) {
			asked[q.id] = true
		}
		f.mu.Unlock()
	}
	if len(asked) <= maxPathChecks {
		t.Errorf("ten VMs that heard the same ask %v only, of %d targets that answer", slices.Sorted(maps.Keys(asked)), targets)
	}
}
