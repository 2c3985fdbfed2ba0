// Package capacity measures the control overhead per VM in fleets of several
// sizes and extrapolates it to the fleet size to design for.
//
// Each size is an idle fleet of real daemons in one process, with the stand-ins
// of the platform and of 26 targets. Processor time and memory are the
// process's, divided by the number of instances, so the stand-ins' part is
// included in the cost of the instances. Bytes are counted at the sockets that the
// instances dial; a byte between two instances is charged to both.
package capacity

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/primroseloom/primroseloom/operator/localfleet"
)

// readyTimeout bounds the start of one fleet.
const readyTimeout = 2 * time.Minute

// settleTime is the wait for connections and the membership to settle.
const settleTime = 10 * time.Second

// Options describe a measurement.
type Options struct {
	// Instances are the sizes to measure, in ascending order.
	Instances []int
	// Duration is the time measured at each size.
	Duration time.Duration
	// ExtrapolatedSize is the fleet size that the costs are extrapolated to.
	ExtrapolatedSize int
	// Progress is called before each size, when set.
	Progress func(instances int)
}

// Cost is the control overhead of one VM.
type Cost struct {
	Instances int `json:"instances"`
	// CorePercent is the processor time used, in percent of one core.
	CorePercent float64 `json:"core_percent"`
	// MemoryMB is the heap and stack memory that the fleet uses, in MiB per VM.
	MemoryMB float64 `json:"memory_mb"`
	// PeerBytesPerS counts the bytes sent and received between instances.
	PeerBytesPerS float64 `json:"peer_bytes_per_s"`
	// PlatformBytesPerS counts the bytes sent to and received from the platform.
	PlatformBytesPerS float64 `json:"platform_bytes_per_s"`
	// TargetBytesPerS counts the bytes sent to and received from targets, by probes
	// alone.
	TargetBytesPerS float64 `json:"target_bytes_per_s"`
	// PlatformCallsPerS counts the calls of the whole fleet to the platform.
	PlatformCallsPerS float64 `json:"platform_calls_per_s_of_fleet"`
	// InForceMs is the time until a change is in force on all instances.
	InForceMs float64 `json:"in_force_ms"`
}

// Report holds the measured costs and those extrapolated to the larger size.
type Report struct {
	Measured []Cost `json:"measured"`
	// Extrapolated continues the line through the last two sizes; a cost that falls
	// between them keeps its last value.
	Extrapolated Cost `json:"extended"`
}

// Validate reports the first invalid option.
func (o Options) Validate() error {
	if len(o.Instances) < 2 {
		return fmt.Errorf("instances: %d sizes given: want at least 2", len(o.Instances))
	}
	for i, size := range o.Instances {
		if size < 1 || (i > 0 && size <= o.Instances[i-1]) {
			return fmt.Errorf("instances: value %d is not allowed: want sizes from 1 in ascending order", size)
		}
	}
	if o.Duration < time.Second {
		return fmt.Errorf("duration: value %v is not allowed: want at least 1s", o.Duration)
	}
	return nil
}

// Run measures each size in turn.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	var report Report
	for _, size := range options.Instances {
		if options.Progress != nil {
			options.Progress(size)
		}
		cost, err := measure(ctx, size, options.Duration)
		if err != nil {
			return report, fmt.Errorf("measure %d instances: %w", size, err)
		}
		report.Measured = append(report.Measured, cost)
	}
	report.Extrapolated = extrapolate(report.Measured, options.ExtrapolatedSize)
	return report, nil
}

// measure starts a fleet of one size, lets it settle and measures it.
func measure(ctx context.Context, size int, duration time.Duration) (Cost, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := memoryBytes()
	meter := newMeter()
	fleet, err := localfleet.Start(ctx, localfleet.Options{Network: meter})
	if err != nil {
		return Cost{}, err
	}
	defer fleet.Stop()
	meter.assign(fleet.PlatformAddress, purposePlatform)
	if err := startVMs(ctx, fleet, meter, size); err != nil {
		return Cost{}, err
	}
	localfleet.Sleep(ctx, settleTime)
	cost := measureUsage(ctx, fleet, meter, size, duration)
	cost.MemoryMB = float64(memoryBytes()-before) / float64(size) / (1 << 20)
	published := time.Now()
	if err := fleet.Publish(); err != nil {
		return cost, err
	}
	err = fleet.AwaitGeneration(ctx, readyTimeout)
	cost.InForceMs = float64(time.Since(published).Microseconds()) / 1000
	return cost, err
}

func startVMs(ctx context.Context, fleet *localfleet.Fleet, meter *meter, size int) error {
	zones := localfleet.Zones()
	for i := range size {
		if err := fleet.StartVM(ctx, fmt.Sprintf("vm-%d", i+1), zones[i%len(zones)]); err != nil {
			return err
		}
		running := fleet.VMs()
		meter.assign(running[len(running)-1].Settings.Listen.Peers, purposePeers)
	}
	return fleet.AwaitGeneration(ctx, readyTimeout)
}

// measureUsage measures the processor time, bytes and platform calls used during
// the duration.
func measureUsage(ctx context.Context, fleet *localfleet.Fleet, meter *meter, size int, duration time.Duration) Cost {
	cpu, calls, started := cpuTime(), fleet.Platform.Calls(), time.Now()
	var bytes [purposeCount]int64
	for i := range bytes {
		bytes[i] = meter.bytes[i].Load()
	}
	localfleet.Sleep(ctx, duration)
	seconds := time.Since(started).Seconds()
	perVM := func(p purpose) float64 { return float64(meter.bytes[p].Load()-bytes[p]) / seconds / float64(size) }
	const bothEnds = 2
	return Cost{
		Instances:         size,
		CorePercent:       100 * (cpuTime() - cpu).Seconds() / seconds / float64(size),
		PeerBytesPerS:     bothEnds * perVM(purposePeers),
		PlatformBytesPerS: perVM(purposePlatform),
		TargetBytesPerS:   perVM(purposeTargets),
		PlatformCallsPerS: float64(fleet.Platform.Calls()-calls) / seconds,
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryBytes returns the heap and stacks in use after a collection.
func memoryBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// extrapolate continues the line through the last two costs to a larger size; a
// cost that falls between them keeps its last value.
func extrapolate(measured []Cost, size int) Cost {
	low, high := measured[len(measured)-2], measured[len(measured)-1]
	extrapolated := func(of func(Cost) float64) float64 {
		slope := (of(high) - of(low)) / float64(high.Instances-low.Instances)
		return of(high) + max(0, slope)*float64(size-high.Instances)
	}
	return Cost{
		Instances:         size,
		CorePercent:       extrapolated(func(c Cost) float64 { return c.CorePercent }),
		MemoryMB:          extrapolated(func(c Cost) float64 { return c.MemoryMB }),
		PeerBytesPerS:     extrapolated(func(c Cost) float64 { return c.PeerBytesPerS }),
		PlatformBytesPerS: extrapolated(func(c Cost) float64 { return c.PlatformBytesPerS }),
		TargetBytesPerS:   extrapolated(func(c Cost) float64 { return c.TargetBytesPerS }),
		PlatformCallsPerS: extrapolated(func(c Cost) float64 { return c.PlatformCallsPerS }),
		InForceMs:         extrapolated(func(c Cost) float64 { return c.InForceMs }),
	}
}
