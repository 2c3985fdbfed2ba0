package frontend

import (
	"runtime/debug"
	"testing"

	"github.com/primroseloom/primroseloom/entry/settings"
)

// TestMemoryLimitFollowsTheSetting guards against a runtime whose limit changes without
// machine.memory_mb, and against one that lets garbage grow beyond the VM's memory.
func TestMemoryLimitFollowsTheSetting(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	for _, c := range []struct {
		name, environment string
		memoryMB          float64
		// want is the limit in bytes, 0 when it is unchanged.
		want int64
	}{
		{"no setting", "", 0, 0},
		{"limit of the environment", "1GiB", 136, 0},
		{"small VM", "", 136, 92_800_000},
		{"VM with little more than the program needs", "", 30, 12_000_000},
	} {
		debug.SetMemoryLimit(before)
		t.Setenv(memoryLimitVariable, c.environment)
		got := LimitMemory(settings.Machine{MemoryMB: c.memoryMB})
		inForce := debug.SetMemoryLimit(-1)
		if want := max(c.want, 0); got != want || (want == 0 && inForce != before) || (want > 0 && inForce != want) {
			t.Errorf("%s: limit %d, in force %d, want %d", c.name, got, inForce, c.want)
		}
	}
}

// TestConnectionsFitTheMemory guards against idle connections that need more than the part of
// the memory which the process has, and against fewer of them on VMs without a bound.
func TestConnectionsFitTheMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB float64
		want     int
	}{{0, maxCallerConnections}, {0.01, 1}, {136, 1245}, {536, maxCallerConnections}} {
		if got := maxConnections(settings.Machine{MemoryMB: c.memoryMB}); got != c.want {
			t.Errorf("%v MB: %d connections, want %d", c.memoryMB, got, c.want)
		}
	}
}
