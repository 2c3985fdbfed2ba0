// Package demo runs a complete system in one process on loopback sockets: entry
// VMs, stand-ins for the platform and the targets, and callers.
//
// It publishes the Sooja Vee example configuration, generates load, changes the
// configuration, gives one target a gray failure (slow and erroneous while its
// health endpoint reports healthy) and replaces one entry VM. Then it compares the
// results that callers got with the requests that the targets ran.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/primroseloom/primroseloom/operator/localfleet"
)

// Options configures a demo run.
type Options struct {
	// Duration is how long load is generated; at least MinimumDuration.
	Duration time.Duration
	// Progress receives human-readable lines about the run; nil for none.
	Progress io.Writer
}

// MinimumDuration is the shortest run with enough time for each event of the timeline.
const MinimumDuration = 8 * time.Second

// Times of the events, as fractions of the duration, and the gray failure.
const (
	publishPoint   = 0.15
	grayPoint      = 0.30
	replacePoint   = 0.55
	grayTarget     = "booking-07"
	graySlowFactor = 10
)

// Report is the result of a run. Its JSON keys are stable.
type Report struct {
	Requests   int `json:"requests"`
	Answered   int `json:"answered"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	// WrongResponses counts responses that belong to another request.
	WrongResponses int `json:"wrong_answers"`
	// Truncated counts truncated responses.
	Truncated int `json:"truncated"`
	// RanTwice counts at-most-once requests that targets ran more than once.
	RanTwice int `json:"ran_twice"`
	// NotRunButRan counts requests reported to the caller as not run that a target ran.
	NotRunButRan int `json:"not_run_but_ran"`
	// Unanswered counts requests that ended more than deadlineSlack after their
	// deadline.
	Unanswered int `json:"unanswered"`
	// DetectionMs is the time from the start of the gray failure to the last request of
	// the first burst that the gray target got.
	DetectionMs float64 `json:"detection_ms"`
	// FalseEjections counts ejections of healthy targets.
	FalseEjections int `json:"false_ejections"`
	// AddedMs is the latency that the fleet adds to a direct call of a target.
	AddedMs AddedLatency `json:"added_ms"`
	// ConfigInForceMs is the time from a publication until all VMs have it in force.
	ConfigInForceMs float64 `json:"config_in_force_ms"`
	// PlatformCallsPerS is the total rate of platform calls by all VMs under load.
	PlatformCallsPerS float64 `json:"platform_calls_per_s"`
	// Reasons counts refusals by reason.
	Reasons map[string]int `json:"reasons"`
	// BrokenPromises lists the promises that the run broke.
	BrokenPromises []string `json:"broken"`
}

// AddedLatency holds the differences of latency percentiles in milliseconds.
type AddedLatency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Limits that a run must meet.
const (
	maxConfigInForce = 4 * time.Second
	// maxDetection is twice the limit for settings tuned to fast detection, because
	// the example is tuned to few false ejections.
	maxDetection = 6 * time.Second
)

// Run runs the demo. It returns an error only if the run could not be completed;
// broken promises are listed in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	if options.Duration < MinimumDuration {
		return Report{}, fmt.Errorf("duration: value %v is not allowed: want at least %v", options.Duration, MinimumDuration)
	}
	if options.Progress == nil {
		options.Progress = io.Discard
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	observer := newObserver(options.Progress)
	run, err := start(ctx, observer)
	if err != nil {
		return Report{}, err
	}
	defer run.Stop()
	observer.logf("%d entry VMs in %d zones serve %d targets", len(run.VMs()), len(localfleet.Zones()), len(run.Targets))
	return run.execute(ctx, options)
}

// execute runs the timeline under load and returns the report.
func (d *demoRun) execute(ctx context.Context, options Options) (Report, error) {
	traffic := d.newTraffic()
	loadCtx, stopLoad := context.WithTimeout(ctx, options.Duration)
	defer stopLoad()
	callsBefore := d.Platform.Calls()
	started := time.Now()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		traffic.run(loadCtx)
	}()
	inForce, err := d.runTimeline(loadCtx, started, options.Duration)
	if err != nil {
		return Report{}, err
	}
	<-finished
	elapsed := time.Since(started)
	report := traffic.report(d)
	report.ConfigInForceMs = milliseconds(inForce)
	report.PlatformCallsPerS = float64(d.Platform.Calls()-callsBefore) / elapsed.Seconds()
	report.DetectionMs = milliseconds(d.detection())
	report.FalseEjections = d.observer.falseEjections(grayTarget)
	report.BrokenPromises = brokenPromises(report)
	return report, nil
}

// runTimeline executes the events at their times and returns how long the published
// change took until it was in force on all VMs.
func (d *demoRun) runTimeline(ctx context.Context, started time.Time, duration time.Duration) (time.Duration, error) {
	waitFor := func(fraction float64) bool {
		return localfleet.Sleep(ctx, time.Until(started.Add(time.Duration(fraction*float64(duration)))))
	}
	waitFor(publishPoint)
	inForce, err := d.publishChange(ctx)
	if err != nil {
		return 0, err
	}
	waitFor(grayPoint)
	d.turnGray()
	waitFor(replacePoint)
	return inForce, d.replaceVM(ctx)
}

// brokenPromises returns the names of the promises that the report's figures break.
func brokenPromises(report Report) []string {
	names := []string{}
	check := func(isBroken bool, name string) {
		if isBroken {
			names = append(names, name)
		}
	}
	check(report.Answered == 0, "requests are answered")
	check(report.WrongResponses > 0, "a caller never gets another's answer")
	check(report.Truncated > 0, "an answer is whole")
	check(report.RanTwice > 0, "a non-idempotent request runs at most once")
	check(report.NotRunButRan > 0, "what is told as not run was not run")
	check(report.Unanswered > 0, "each request ends by its deadline")
	check(report.FalseEjections > 0, "a healthy target stays in service")
	check(report.ConfigInForceMs > milliseconds(maxConfigInForce), "a configuration is in force within 4s")
	check(report.DetectionMs > milliseconds(maxDetection), "a gray target gets no more work after 6s")
	return names
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
