package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Times of the simulated fleet.
const (
	step           = time.Millisecond
	heartbeat      = 200 * time.Millisecond
	refresh        = 100 * time.Millisecond
	batchDelay     = 30 * time.Millisecond
	networkLatency = 2 * time.Millisecond
	countsFor      = 6 * time.Second
	maxDrift       = 0.001
)

// specified are the settings of the specification.
var specified = Settings{Window: 5 * time.Second, Overrun: 0.25, Slack: 20}

const customerName = "c"

// vmNames names the VMs of the greatest fleet.
var vmNames = func() (names [30]string) {
	for i := range names {
		names[i] = fmt.Sprint("vm-", i)
	}
	return names
}()

// simVM is one VM of a simulated fleet.
type simVM struct {
	table *Table
	// offset is what its clock shows at the beginning, drift by which fraction it is fast.
	offset   time.Duration
	drift    float64
	instance uint64
	heard    map[int]time.Duration
	// sendAt is when the next heartbeat is due, promptAt when the next other datagram.
	sendAt, promptAt time.Duration
	down             bool
	downSince        time.Duration
}

// datagram is one on its way.
type datagram struct {
	from, to int
	instance uint64
	at       time.Duration
	reports  []Report
}

// simFleet simulates VMs that exchange datagrams.
type simFleet struct {
	random *rand.Rand
	vms    []*simVM
	now    time.Duration
	onWay  []datagram
	loss   float64
	// isCut reports whether no datagram passes from one VM to another.
	isCut func(from, to int) bool
	limit Limit
	// limitAt returns the limit that a VM knows.
	limitAt  func(vm int) Limit
	admitted []time.Duration
	refused  int
	begins   int
}

func newSimFleet(seed uint64, count int, limit Limit) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), limit: limit, isCut: func(int, int) bool { return false }}
	f.limitAt = func(int) Limit { return f.limit }
	for i := range count {
		offset := time.Duration(f.random.IntN(1_000_000)) * time.Millisecond
		drift := maxDrift * (2*f.random.Float64() - 1)
		f.vms = append(f.vms, &simVM{offset: offset, drift: drift, downSince: -time.Hour})
		f.start(i)
	}
	f.run(3*time.Second, nil)
	return f
}

// clock returns what the clock of a VM shows.
func (f *simFleet) clock(i int) time.Duration {
	vm := f.vms[i]
	return f.now + vm.offset + time.Duration(vm.drift*float64(f.now))
}

// start begins a process of a VM.
func (f *simFleet) start(i int) {
	vm := f.vms[i]
	vm.table = NewTable(f.clock(i), specified)
	vm.instance, vm.heard, vm.down, vm.promptAt = f.random.Uint64(), make(map[int]time.Duration), false, 0
	vm.sendAt = f.now + time.Duration(f.random.Int64N(int64(heartbeat)))
	f.refreshServing(i)
}

func (f *simFleet) stop(i int) { f.vms[i].down, f.vms[i].downSince = true, f.now }

// refreshServing tells a VM which others serve callers.
func (f *simFleet) refreshServing(i int) {
	var peers []Peer
	for j, other := range f.vms {
		if j == i || other.down && f.now-other.downSince > countsFor {
			continue
		}
		age := time.Duration(-1)
		if heard, ok := f.vms[i].heard[j]; ok {
			age = f.now - heard
		}
		peers = append(peers, Peer{VM: vmNames[j], Age: age})
	}
	f.vms[i].table.SetServing(f.clock(i), peers)
}

// send lets a VM send one datagram to all others.
func (f *simFleet) send(i int, isHeartbeat bool) {
	reports := f.vms[i].table.Reports(f.clock(i), isHeartbeat)
	for j := range f.vms {
		if j == i || f.isCut(i, j) || f.random.Float64() < f.loss {
			continue
		}
		f.onWay = append(f.onWay, datagram{from: i, to: j, instance: f.vms[i].instance, at: f.now + networkLatency, reports: reports})
	}
}

// deliver delivers the datagrams that have arrived.
func (f *simFleet) deliver() {
	kept := f.onWay[:0]
	for _, d := range f.onWay {
		to := f.vms[d.to]
		if d.at > f.now {
			kept = append(kept, d)
			continue
		}
		if to.down {
			continue
		}
		to.heard[d.from] = f.now
		to.table.Merge(f.clock(d.to), vmNames[d.from], d.instance, d.reports, func(Customer) (Limit, bool) { return f.limitAt(d.to), true })
	}
	f.onWay = kept
}

// run advances the fleet and calls arrivals in each step.
func (f *simFleet) run(length time.Duration, arrivals func()) {
	for end := f.now + length; f.now < end; f.now += step {
		f.deliver()
		for i, vm := range f.vms {
			if vm.down {
				continue
			}
			if f.now%refresh == 0 {
				f.refreshServing(i)
			}
			if f.now >= vm.sendAt {
				vm.sendAt += heartbeat
				f.send(i, true)
			}
			if vm.promptAt > 0 && f.now >= vm.promptAt {
				vm.promptAt = 0
				f.send(i, false)
			}
		}
		if arrivals != nil {
			arrivals()
		}
	}
}

// request lets one request arrive at a VM.
func (f *simFleet) request(i int) bool {
	vm := f.vms[i]
	if vm.down {
		return false
	}
	d := vm.table.Admit(f.clock(i), customerName, f.limitAt(i))
	if d.Begins {
		f.begins++
	}
	if d.ReportNow && vm.promptAt == 0 {
		vm.promptAt = f.now + batchDelay
	}
	if !d.Admitted {
		f.refused++
		return false
	}
	f.admitted = append(f.admitted, f.now)
	return true
}

// poisson returns arrivals at a rate, each at the VM that choose returns.
func (f *simFleet) poisson(rate float64, choose func() int) func() {
	return func() {
		for p := rate * step.Seconds(); p > 0; p-- {
			if f.random.Float64() < p {
				f.request(choose())
			}
		}
	}
}

// anyOf returns a function that chooses one of the first VMs at random.
func (f *simFleet) anyOf(count int) func() int { return func() int { return f.random.IntN(count) } }

// most returns the greatest number of requests that ran in any window.
func (f *simFleet) most() int {
	best, first := 0, 0
	for last, at := range f.admitted {
		for at-f.admitted[first] >= specified.Window {
			first++
		}
		best = max(best, last-first+1)
	}
	return best
}

// checkBound checks that no window holds more requests than allowed.
func (f *simFleet) checkBound(t *testing.T, name string) {
	t.Helper()
	if got, bound := float64(f.most()), specified.Bound(f.limit); got > bound {
		t.Errorf("%s: %v requests in a window, bound %v", name, got, bound)
	}
}

// usable is the part of the allowance that callers can use at least, by the specification.
const usable = 0.97

// checkUsable checks that callers could use their allowance in a time.
func (f *simFleet) checkUsable(t *testing.T, name string, length time.Duration, offered float64) {
	t.Helper()
	allowance := min(f.limit.Rate*length.Seconds()+f.limit.Burst, offered)
	if got := float64(len(f.admitted)) / allowance; got < usable {
		t.Errorf("%s: %.3f of the allowance was usable, want %v", name, got, usable)
	}
}
