package bytebudget

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// parameters returns the parameters of the property tests, with a fixed seed.
func parameters() *gopter.TestParameters {
	chosen := gopter.DefaultTestParametersWithSeed(1)
	chosen.MinSuccessfulTests = 500
	return chosen
}

// steps generates reservations (positive) and releases (negative) in bytes.
func steps() gopter.Gen { return gen.SliceOf(gen.Int64Range(-200_000, 600_000)) }

// apply makes steps on a budget, each positive one a reservation of its own, and calls check
// with the sum of what is reserved after each step.
func apply(b *Budget, steps []int64, check func(reserved int64) bool) bool {
	var granted []int64
	reserved := int64(0)
	for _, step := range steps {
		switch {
		case step >= 0 && b.Reserve(0, step):
			granted = append(granted, step)
			reserved += step
		case step < 0 && len(granted) > 0:
			last := granted[len(granted)-1]
			granted = granted[:len(granted)-1]
			b.Release(last)
			reserved -= last
		}
		if !check(reserved) {
			return false
		}
	}
	return true
}

// TestHeldBytesStayWithinTheLimit guards against more bytes held than the budget has, or
// bytes that are lost to it.
func TestHeldBytesStayWithinTheLimit(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("held is the sum of reservations, at most the limit", prop.ForAll(func(limit int64, steps []int64) bool {
		b := NewBudget(limit)
		return apply(b, steps, func(reserved int64) bool { return b.Held() == reserved && b.Held() <= b.Limit() })
	}, gen.Int64Range(0, 5_000_000), steps()))
	properties.Property("what only small reservations may use is left by large ones", prop.ForAll(func(steps []int64) bool {
		b := NewBudget(2_000_000)
		for _, step := range steps {
			b.Reserve(0, max(step, SmallBytes+1))
		}
		return b.Reserve(0, SmallBytes)
	}, steps()))
	properties.Property("a refusal changes nothing", prop.ForAll(func(bytes int64) bool {
		b := NewBudget(1_000_000)
		b.Reserve(0, 500_000)
		before := b.Held()
		return b.Reserve(0, bytes) || b.Held() == before
	}, gen.Int64Range(-10, 2_000_000)))
	properties.TestingRun(t)
}

// TestReservationThatGrowsLargeLeavesRoomForSmallOnes guards against large responses that
// take all of the budget in small steps.
func TestReservationThatGrowsLargeLeavesRoomForSmallOnes(t *testing.T) {
	b := NewBudget(1 << 20)
	size := int64(0)
	for b.Reserve(size, 4<<10) {
		size += 4 << 10
	}
	if size <= SmallBytes || !b.Reserve(0, SmallBytes) {
		t.Errorf("a reservation of %d bytes leaves %d", size, b.Limit()-b.Held())
	}
}

func TestLimitLeavesThePartOfTheProcess(t *testing.T) {
	for _, c := range []struct {
		memoryMB float64
		want     int64
	}{
		{64, 8_000_000}, {136, 36_000_000}, {184, 60_000_000}, {536, 236_000_000},
	} {
		if got := Limit(c.memoryMB); got != c.want {
			t.Errorf("%v MB: %d bytes, want %d", c.memoryMB, got, c.want)
		}
	}
}
