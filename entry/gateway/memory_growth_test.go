package gateway

import (
	"bytes"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/primroseloom/primroseloom/policy/bytebudget"
)

// TestNothingIsReservedAfterTheEndOfARequest guards against memory that is never released, since an
// attempt that has lost against another one reserves it after the end of its request.
func TestNothingIsReservedAfterTheEndOfARequest(t *testing.T) {
	m := newMemory(testMemoryMB, testLinkMbps, tally.NoopScope)
	part := m.newHold()
	if !part.cover(1000) || !part.grow(1000) {
		t.Fatal("nothing was reserved")
	}
	part.release()
	if part.cover(1000) || part.grow(1) || m.held() != 0 {
		t.Errorf("%d bytes are held after the end", m.held())
	}
}

// TestLargeHeadsLeaveRoom guards against heads that fill the budget, so that other requests are refused.
func TestLargeHeadsLeaveRoom(t *testing.T) {
	m := newMemory(testMemoryMB, testLinkMbps, tally.NoopScope)
	for m.newHold().cover(bytebudget.SmallBytes) {
		continue
	}
	if limit := m.budget.Limit(); float64(m.held()) > growthShare*float64(limit) || m.held() < limit/4 {
		t.Errorf("heads hold %d of %d bytes", m.held(), limit)
	}
}

// TestResponseLargerThanUsualLeavesRoom guards against responses without end that fill the budget beside
// each other, so that the reservations of further requests are refused.
func TestResponseLargerThanUsualLeavesRoom(t *testing.T) {
	m := newMemory(testMemoryMB, testLinkMbps, tally.NoopScope)
	for _, expected := range []int64{-1, 200_000} {
		part := parts{hold: m.newHold()}
		if !part.hold.grow(largePart) || !m.budget.Reserve(0, m.budget.Limit()*6/10-m.budget.Held()) {
			t.Fatal("could not fill the budget")
		}
		complete, err := part.read(bytes.NewReader(pattern(200_000)), expected, maxBufferedResponseBytes)
		if err != nil || complete || part.held > largePart {
			t.Errorf("expected %d: %d bytes are held beside others, complete %v, %v", expected, part.held, complete, err)
		}
		unreserved := parts{hold: m.newHold()}
		if complete, err := unreserved.read(bytes.NewReader(pattern(2000)), -1, maxBufferedResponseBytes); err != nil || !complete {
			t.Errorf("a small response without a reservation is not held, complete %v, %v", complete, err)
		}
		m = newMemory(testMemoryMB, testLinkMbps, tally.NoopScope)
		part = parts{hold: m.newHold()}
		if complete, err := part.read(bytes.NewReader(pattern(200_000)), expected, maxBufferedResponseBytes); err != nil || !complete {
			t.Errorf("expected %d: not held by an idle VM, %v", expected, err)
		}
	}
}
