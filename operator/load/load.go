// Package load generates load on a fleet and measures latencies and outcomes as
// callers see them.
//
// Requests start at a fixed rate, independent of the progress of earlier ones. A
// second stream at the same rate may go directly to a target, to measure the
// latency that the fleet adds in the same run.
package load

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primroseloom/primroseloom/operator/caller"
	"github.com/primroseloom/primroseloom/policy/outcome"
)

// Bounds of the latency histograms, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = 60_000_000
	significantDigits = 3
)

// Options configures the load.
type Options struct {
	Caller caller.Options
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
	// Method and Path are the method and path of each request.
	Method string
	Path   string
	// BodyBytes is the size of each request's body.
	BodyBytes int
	// AtMostOnce sends an Idempotency-Key with each request.
	AtMostOnce bool
	// DirectTarget is the "IP:port" of a target for the direct stream; empty for none.
	DirectTarget string
	// Progress, if not nil, is called about once per second with the number of
	// requests started and the total.
	Progress func(started int, total int)
}

// Report holds the outcomes and latencies of a run.
type Report struct {
	Requests   int            `json:"requests"`
	Answered   int            `json:"answered"`
	NotRun     int            `json:"not_run"`
	MayHaveRun int            `json:"may_have_run"`
	Reasons    map[string]int `json:"reasons,omitempty"`
	// FleetMs and DirectMs are the latency percentiles, in milliseconds, of requests
	// through the fleet and of direct ones.
	FleetMs  Percentiles  `json:"fleet_ms"`
	DirectMs *Percentiles `json:"direct_ms,omitempty"`
	// AddedMs is FleetMs minus DirectMs.
	AddedMs *Percentiles `json:"added_ms,omitempty"`
}

// Percentiles holds percentiles of a latency distribution in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Validate returns an error for the first invalid option.
func (o Options) Validate() error {
	switch {
	case o.Rate <= 0:
		return fmt.Errorf("rate: value %v is not allowed: want more than 0 requests a second", o.Rate)
	case o.Duration <= 0:
		return fmt.Errorf("duration: value %v is not allowed: want more than 0s", o.Duration)
	case o.BodyBytes < 0:
		return fmt.Errorf("body bytes: value %d is not allowed: want 0 or more", o.BodyBytes)
	case len(o.Caller.Entrances) == 0:
		return fmt.Errorf("entrances: none given: want at least one IP:port of an entry VM")
	}
	return nil
}

// Run generates load until the duration has passed or the context ends.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	client := caller.New(options.Caller)
	defer client.Close()
	recorder := newRecorder()
	direct := newDirectCaller(options)
	var inFlight sync.WaitGroup
	total := int(options.Rate * options.Duration.Seconds())
	interval := time.Duration(float64(time.Second) / options.Rate)
	started := time.Now()
	body := make([]byte, options.BodyBytes)
	for i := range total {
		if !sleepUntil(ctx, started.Add(time.Duration(i)*interval)) {
			break
		}
		request := caller.Request{
			ID:         fmt.Sprintf("load-%d-%d", started.UnixNano(), i),
			Method:     options.Method,
			Path:       options.Path,
			Body:       body,
			AtMostOnce: options.AtMostOnce,
		}
		inFlight.Go(func() { recorder.recordFleet(client.Do(ctx, request)) })
		if direct != nil {
			inFlight.Go(func() { recorder.recordDirect(direct.measure(ctx)) })
		}
		if options.Progress != nil && i%max(1, int(options.Rate)) == 0 {
			options.Progress(i, total)
		}
	}
	inFlight.Wait()
	return recorder.report(), nil
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// directCaller sends requests with the same method and path, without a body or
// the caller's headers, directly to a target.
type directCaller struct {
	client *http.Client
	method string
	url    string
}

func newDirectCaller(options Options) *directCaller {
	if options.DirectTarget == "" {
		return nil
	}
	dial := options.Caller.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &directCaller{
		client: &http.Client{Transport: transport},
		method: options.Method,
		url:    "http://" + options.DirectTarget + options.Path,
	}
}

// measure sends one direct request and returns its latency, or false if it failed.
func (d *directCaller) measure(ctx context.Context) (time.Duration, bool) {
	request, err := http.NewRequestWithContext(ctx, d.method, d.url, nil)
	if err != nil {
		return 0, false
	}
	started := time.Now()
	response, err := d.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, false
	}
	return time.Since(started), true
}

// recorder collects the results of concurrent requests.
type recorder struct {
	mu            sync.Mutex
	totals        Report
	fleetLatency  *hdrhistogram.Histogram
	directLatency *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		totals:        Report{Reasons: make(map[string]int)},
		fleetLatency:  hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		directLatency: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
}

func (r *recorder) recordFleet(result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Requests++
	switch result.Outcome {
	case outcome.Answered:
		r.totals.Answered++
		_ = r.fleetLatency.RecordValue(result.Latency.Microseconds())
	case outcome.NotRun:
		r.totals.NotRun++
		r.totals.Reasons[result.Reason]++
	default:
		r.totals.MayHaveRun++
		r.totals.Reasons[result.Reason]++
	}
}

func (r *recorder) recordDirect(latency time.Duration, ok bool) {
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.directLatency.RecordValue(latency.Microseconds())
}

func (r *recorder) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.totals
	report.FleetMs = percentiles(r.fleetLatency)
	if r.directLatency.TotalCount() > 0 {
		direct := percentiles(r.directLatency)
		report.DirectMs = &direct
		report.AddedMs = &Percentiles{
			P50: report.FleetMs.P50 - direct.P50,
			P99: report.FleetMs.P99 - direct.P99,
			Max: report.FleetMs.Max - direct.Max,
		}
	}
	return report
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	const microsPerMilli = 1000
	return Percentiles{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
	}
}
