// Package propagation measures how soon what the store publishes is in force on front daemons, and what
// that costs them, at a size of the deployment.
//
// The daemons are separate processes on loopback addresses of their own. The store, without targets that
// answer, is in this process. A version of the routes is in force on a daemon once it no longer answers 404
// on a path that the version adds; each daemon is asked 20 times a second. The daemons have no other load.
// Linux only: processor time and memory are read from /proc.
package propagation

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Options describe a measurement.
type Options struct {
	// DaemonPath is the daemon's program, Directory where settings and logs go.
	DaemonPath, Directory string
	VMs                   int
	// MemoryMB is the memory of a VM, in MiB; 0 sets no bound.
	MemoryMB   float64
	Deployment Deployment
	// AddressBase is the second byte of the loopback addresses.
	AddressBase int
	// Progress is called before each case, when set.
	Progress func(name string)
}

// Result is the measurement of one case.
type Result struct {
	Case string `json:"case"`
	VMs  int    `json:"vms"`
	// MedianMs and MaxMs are the times until the version is in force on the daemons that run, from its
	// confirmation, or from the start of the daemon that starts.
	MedianMs float64 `json:"median_ms"`
	MaxMs    float64 `json:"max_ms"`
	// Missing is the number of daemons on which it is not in force after waitTime.
	Missing int `json:"missing"`
	// StoreCalls and StoreMB are the calls to the store and the bytes of its responses, by all daemons, up to
	// settleTime after the last one has the version.
	StoreCalls int64   `json:"store_calls"`
	StoreMB    float64 `json:"store_mb"`
	// CoreMs is the processor time of a daemon in that time, PeakMB the most of its resident memory; the mean
	// and the highest.
	CoreMs     float64 `json:"core_ms"`
	CoreMsMax  float64 `json:"core_ms_max"`
	PeakMB     float64 `json:"peak_mb"`
	PeakMBMax  float64 `json:"peak_mb_max"`
	DurationMs float64 `json:"duration_ms"`
}

const (
	// startTimeout bounds the start of the daemons, waitTime the wait for a version.
	startTimeout, waitTime = time.Minute, 20 * time.Second
	// settleTime is the calm before and after each case.
	settleTime = 4 * time.Second
	// idleTime is the duration of the case without a change.
	idleTime = 10 * time.Second
	// bulkChanges is the number of entries that change at once.
	bulkChanges = 10_000
	// stallTime is how long a feeder is stopped by a signal.
	stallTime = 5 * time.Second
)

// run is a measurement in progress.
type run struct {
	options Options
	store   *meteredStore
	fleet   *fleet
	results []Result
}

// Run measures all cases in turn with one fleet.
func Run(ctx context.Context, options Options) ([]Result, error) {
	r := &run{options: options, store: newMeteredStore(options.Deployment)}
	address, err := r.store.serve(ctx, options.AddressBase)
	if err != nil {
		return nil, err
	}
	if r.fleet, err = newFleet(options, address); err != nil {
		return nil, err
	}
	defer r.fleet.end()
	cases := []struct {
		name  string
		begin func() (exempt []int)
	}{
		{"start of all", r.startAll},
		{"calm", nil},
		{"a version", r.publish},
		{"history discarded", r.discard},
		{"store from a copy", r.restore},
		{"10,000 entries at once", r.changeInBulk},
		{"a feeder ends", r.killFeeder},
		{"a feeder stalls", r.stallFeeder},
		{"a VM starts", r.startVM},
	}
	for _, c := range cases {
		if options.Progress != nil {
			options.Progress(c.name)
		}
		if err := r.measure(ctx, c.name, c.begin); err != nil {
			return r.results, fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return r.results, nil
}

// measure plays one case; without begin nothing changes for idleTime. begin returns the daemons that
// need not have the version.
func (r *run) measure(ctx context.Context, name string, begin func() []int) error {
	result := Result{Case: name, VMs: r.options.VMs}
	calls, bytes := r.store.totals()
	before := r.fleet.beginUsage()
	started := time.Now()
	if begin == nil {
		time.Sleep(idleTime)
	} else {
		exempt := begin()
		times, missing := r.fleet.await(ctx, r.store.version, exempt)
		if len(times) == 0 {
			return errors.New("no daemon has the version")
		}
		result.Missing = missing
		slices.Sort(times)
		result.MedianMs, result.MaxMs = milliseconds(times[len(times)/2]), milliseconds(times[len(times)-1])
		time.Sleep(settleTime)
	}
	result.DurationMs = milliseconds(time.Since(started))
	callsAfter, bytesAfter := r.store.totals()
	result.StoreCalls, result.StoreMB = callsAfter-calls, float64(bytesAfter-bytes)/(1<<20)
	result.addUsage(before, r.fleet.usage())
	r.results = append(r.results, result)
	return ctx.Err()
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// startAll starts all daemons, with the first version published.
func (r *run) startAll() []int {
	r.store.publish()
	for _, v := range r.fleet.vms {
		r.fleet.start(v)
	}
	return nil
}

func (r *run) publish() []int {
	r.store.publish()
	return nil
}

// discard has the store discard its history with a version, so that nobody's watch can be continued.
func (r *run) discard() []int {
	r.store.publish()
	r.store.DiscardHistory()
	return nil
}

// restore restores the store from a copy that is a version old, with the operator's version written again.
func (r *run) restore() []int {
	copied := r.store.Copy()
	r.store.publish()
	r.store.TakeDown()
	r.store.Restore(copied)
	r.store.publish()
	return nil
}

func (r *run) changeInBulk() []int {
	r.store.change(bulkChanges)
	r.store.publish()
	return nil
}

// killFeeder ends a daemon that watches the store while the others need a whole listing.
func (r *run) killFeeder() []int {
	feeder := r.store.feeder()
	_ = r.discard()
	r.fleet.vms[feeder].kill()
	time.AfterFunc(time.Second, func() { r.fleet.start(r.fleet.vms[feeder]) })
	return []int{feeder}
}

// stallFeeder stops a daemon that watches the store while the others need a whole listing.
func (r *run) stallFeeder() []int {
	feeder := r.store.feeder()
	_ = r.discard()
	r.fleet.vms[feeder].pause(stallTime)
	return []int{feeder}
}

// startVM ends a daemon that doesn't watch the store and starts it anew while the history is discarded; only
// its own time counts.
func (r *run) startVM() []int {
	last := r.store.reader()
	v := r.fleet.vms[last]
	v.kill()
	time.Sleep(time.Second)
	_ = r.discard()
	r.fleet.start(v)
	var others []int
	for i := range r.fleet.vms {
		if i != last {
			others = append(others, i)
		}
	}
	return others
}
