package ratelimit

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

const (
	// step is the time between two decisions of a simulated fleet.
	step = 10 * time.Millisecond
	// window is the time over which a target's requests are counted.
	window = 4 * time.Second
)

func vmsOf(count int) []string {
	vms := make([]string, count)
	for i := range vms {
		vms[i] = "vm-" + strconv.Itoa(i)
	}
	return vms
}

// fleet simulates VMs that each have requests for one limited target all the time.
type fleet struct {
	// views holds, by VM, the VMs that it knows of.
	views   [][]string
	buckets []Bucket
	random  *rand.Rand
	sent    []time.Duration
}

// run sends for a length of time from an uptime on, and returns its end.
func (f *fleet) run(perSecond float64, from, length time.Duration) time.Duration {
	rates := make([]float64, len(f.views))
	for i, view := range f.views {
		rates[i] = Share("target", perSecond, view, "vm-"+strconv.Itoa(i))
	}
	for now := from; now < from+length; now += step {
		for _, i := range f.random.Perm(len(f.views)) {
			if wait, ok := f.buckets[i].Wait(rates[i], now); ok && wait <= 0 {
				f.buckets[i].Spend()
				f.sent = append(f.sent, now)
			}
		}
	}
	return from + length
}

// most returns the highest number of requests in a window.
func (f *fleet) most() int {
	most := 0
	for i := range f.sent {
		inWindow := 0
		for _, at := range f.sent[i:] {
			if at < f.sent[i]+window {
				inWindow++
			}
		}
		most = max(most, inWindow)
	}
	return most
}

func newFleet(count int) *fleet {
	f := &fleet{buckets: make([]Bucket, count), random: rand.New(rand.NewPCG(1, uint64(count)))}
	for range count {
		f.views = append(f.views, vmsOf(count))
	}
	return f
}

// allowed returns the number of requests that the users allow in a window.
func allowed(perSecond float64) float64 { return 1.5*perSecond*window.Seconds() + 5 }

// TestManyVMsTogetherKeepASmallLimit has fleets of all sizes, whose VMs all want to send as
// much as they may to a target with a small limit. They must keep the limit together, also
// while the views of the VMs differ, and use most of it.
func TestManyVMsTogetherKeepASmallLimit(t *testing.T) {
	for _, count := range []int{1, 2, 6, 36, 104} {
		for _, perSecond := range []float64{0.3, 1.3, 1.5, 3.7, 12, 40} {
			f := newFleet(count)
			now := f.run(perSecond, time.Minute, 12*time.Second)
			if got := len(f.sent); float64(got) < 0.75*perSecond*12-1 {
				t.Errorf("%d VMs, limit %.1f: %d requests in 12 s", count, perSecond, got)
			}
			// A VM joins, and half of the VMs learn of it two seconds later.
			joined := vmsOf(count + 1)
			for i := range count / 2 {
				f.views[i] = joined
			}
			f.views = append(f.views, joined)
			f.buckets = append(f.buckets, Bucket{})
			now = f.run(perSecond, now, 2*time.Second)
			for i := range f.views {
				f.views[i] = joined
			}
			now = f.run(perSecond, now, 4*time.Second)
			// A VM is lost, and half of the VMs learn of it a second later.
			remaining := joined[1:]
			for i := range count / 2 {
				f.views[i] = remaining
			}
			now = f.run(perSecond, now, time.Second)
			for i := range f.views {
				f.views[i] = remaining
			}
			f.run(perSecond, now, 4*time.Second)
			if got := f.most(); float64(got) > allowed(perSecond) {
				t.Errorf("%d VMs, limit %.1f: %d requests in %v, allowed %.0f", count, perSecond, got, window, allowed(perSecond))
			}
		}
	}
}

// TestNaiveSharesBreakASmallLimit shows why only a few VMs send: with a part for each VM,
// a full bucket each sends as many requests as there are VMs.
func TestNaiveSharesBreakASmallLimit(t *testing.T) {
	const count, perSecond = 36, 1.5
	buckets := make([]Bucket, count)
	sent := 0
	for now := time.Minute; now < time.Minute+100*time.Second; now += step {
		for i := range buckets {
			wait, ok := buckets[i].Wait(perSecond/count, now)
			if isBurst := now >= time.Minute+90*time.Second; isBurst && ok && wait <= 0 {
				buckets[i].Spend()
				sent++
			}
		}
	}
	if float64(sent) <= allowed(perSecond) {
		t.Errorf("%d requests at the begin of a burst; the test shows nothing", sent)
	}
}

// TestTargetWithoutRoomStillGetsRequests guards against a limit of zero that no response
// can lift any more.
func TestTargetWithoutRoomStillGetsRequests(t *testing.T) {
	f := newFleet(6)
	f.run(0, time.Minute, time.Minute)
	if got := len(f.sent); got < 3 || got > 7 {
		t.Errorf("%d requests in a minute", got)
	}
}

// TestHoldersOfDifferentTargetsDiffer guards against a few VMs that carry the requests of
// all limited targets.
func TestHoldersOfDifferentTargetsDiffer(t *testing.T) {
	vms := vmsOf(36)
	held := make(map[string]int)
	for target := range 72 {
		for _, vm := range vms {
			if Share("target-"+strconv.Itoa(target), 1, vms, vm) > 0 {
				held[vm]++
			}
		}
	}
	for vm, count := range held {
		if count > 8 {
			t.Errorf("%s holds %d of 72 targets", vm, count)
		}
	}
}

func TestBucketIsEmptyForANewHolder(t *testing.T) {
	var b Bucket
	if wait, ok := b.Wait(2, time.Minute); !ok || wait != 500*time.Millisecond {
		t.Errorf("a new bucket waits %v, %v", wait, ok)
	}
	if wait, _ := b.Wait(2, time.Minute+time.Hour); wait != 0 {
		t.Errorf("after an hour it waits %v", wait)
	}
	if _, ok := b.Wait(0, time.Minute+time.Hour); ok {
		t.Error("a VM that is no holder may send")
	}
	if wait, _ := b.Wait(2, time.Minute+2*time.Hour); wait != 500*time.Millisecond {
		t.Errorf("a VM that is a holder again waits %v", wait)
	}
}

func BenchmarkShare(b *testing.B) {
	for _, count := range []int{6, 36, 640} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			vms := vmsOf(count)
			for b.Loop() {
				Share("target", 2.5, vms, "vm-0")
			}
		})
	}
}
