// Package demo runs the whole path in one process: entry VMs, the platform and
// target stand-ins, and callers, on loopback sockets.
//
// It publishes the Sooja Vee example, makes load, changes the configuration,
// turns one target gray and replaces one entry VM, and then compares what
// callers were told with what the targets ran.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/primroseloom/primroseloom/operator/localfleet"
)

// Options describe a demo run.
type Options struct {
	// Duration is the time under load; at least MinimumDuration.
	Duration time.Duration
	// Progress receives lines for a person to read; nil for none.
	Progress io.Writer
}

// MinimumDuration leaves time for each event of the timeline.
const MinimumDuration = 8 * time.Second

// Points of the timeline, as parts of the duration.
const (
	publishAt   = 0.15
	grayAt      = 0.30
	replaceAt   = 0.55
	grayTarget  = "booking-07"
	graySlowing = 10
)

// Report is the result of a run; its fields are stable.
type Report struct {
	Requests   int `json:"requests"`
	Answered   int `json:"answered"`
	NotRun     int `json:"not_run"`
	MayHaveRun int `json:"may_have_run"`
	// WrongResponses counts answers to another request.
	WrongResponses int `json:"wrong_answers"`
	// Truncated counts answers that broke off.
	Truncated int `json:"truncated"`
	// RanTwice counts at-most-once requests that targets ran more than once.
	RanTwice int `json:"ran_twice"`
	// NotRunButRan counts requests told as not run that a target ran.
	NotRunButRan int `json:"not_run_but_ran"`
	// Unanswered counts requests without an answer or refusal by their deadline.
	Unanswered int `json:"unanswered"`
	// DetectionMs is the time from the fault to the last request of the first burst that the gray target got.
	DetectionMs float64 `json:"detection_ms"`
	// FalseEjections counts ejections of targets without a fault.
	FalseEjections int `json:"false_ejections"`
	// AddedMs is the latency added by the fleet over a direct call.
	AddedMs AddedLatency `json:"added_ms"`
	// ConfigInForceMs is the time from a publication until all VMs have it in force.
	ConfigInForceMs float64 `json:"config_in_force_ms"`
	// PlatformCallsPerS is the rate of platform calls by all VMs under load.
	PlatformCallsPerS float64 `json:"platform_calls_per_s"`
	// Reasons counts refusals by reason.
	Reasons map[string]int `json:"reasons"`
	// BrokenPromises names each promise that the run broke.
	BrokenPromises []string `json:"broken"`
}

// AddedLatency is a difference of latency percentiles in milliseconds.
type AddedLatency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Bounds that a run must keep.
const (
	maxConfigInForce = 4 * time.Second
	// maxDetection is twice the bound of a setting for fast detection, since the
	// example is set for few false ejections.
	maxDetection = 6 * time.Second
)

// Run runs the demo; an error means that it could not run, a broken promise is
// told in the report.
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
	scene, err := start(ctx, observer)
	if err != nil {
		return Report{}, err
	}
	defer scene.Stop()
	observer.say("%d entry VMs in %d zones serve %d targets", len(scene.VMs()), len(localfleet.Zones()), len(scene.Targets))
	return scene.play(ctx, options)
}

// play runs the timeline under load and sums up.
func (s *scene) play(ctx context.Context, options Options) (Report, error) {
	traffic := s.newTraffic()
	load, stopLoad := context.WithTimeout(ctx, options.Duration)
	defer stopLoad()
	callsBefore := s.Platform.Calls()
	started := time.Now()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		traffic.run(load)
	}()
	inForce, err := s.timeline(load, started, options.Duration)
	if err != nil {
		return Report{}, err
	}
	<-finished
	elapsed := time.Since(started)
	report := traffic.report(s)
	report.ConfigInForceMs = milliseconds(inForce)
	report.PlatformCallsPerS = float64(s.Platform.Calls()-callsBefore) / elapsed.Seconds()
	report.DetectionMs = milliseconds(s.detection())
	report.FalseEjections = s.observer.falseEjections(grayTarget)
	report.BrokenPromises = broken(report)
	return report, nil
}

// timeline carries out the events at their times.
func (s *scene) timeline(ctx context.Context, started time.Time, duration time.Duration) (time.Duration, error) {
	at := func(part float64) bool {
		return localfleet.Sleep(ctx, time.Until(started.Add(time.Duration(part*float64(duration)))))
	}
	at(publishAt)
	inForce, err := s.publishChange(ctx)
	if err != nil {
		return 0, err
	}
	at(grayAt)
	s.turnGray()
	at(replaceAt)
	return inForce, s.replaceVM(ctx)
}

// broken names the promises that the figures contradict.
func broken(report Report) []string {
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
