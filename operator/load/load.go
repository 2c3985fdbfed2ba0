// Package load makes load on a fleet and measures what callers get.
//
// Requests start at a fixed rate whatever becomes of earlier ones. A second
// stream at the same rate may go straight to a target, so that the time added
// by the fleet is measured in the same run.
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
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
)

// Options describe the load.
type Options struct {
	Caller caller.Options
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	// Method and Path are of each request.
	Method string
	Path   string
	// BodyBytes is the size of each request's body.
	BodyBytes int
	// AtMostOnce sends an Idempotency-Key with each request.
	AtMostOnce bool
	// DirectTarget is the "IP:port" of a target to compare with; empty for none.
	DirectTarget string
	// Progress is called about once a second, when set.
	Progress func(done int, total int)
}

// Report is what the callers got.
type Report struct {
	Requests   int            `json:"requests"`
	Answered   int            `json:"answered"`
	NotRun     int            `json:"not_run"`
	MayHaveRun int            `json:"may_have_run"`
	Reasons    map[string]int `json:"reasons,omitempty"`
	// FleetMs and DirectMs are latency percentiles in milliseconds.
	FleetMs  Percentiles  `json:"fleet_ms"`
	DirectMs *Percentiles `json:"direct_ms,omitempty"`
	// AddedMs is the difference of the two.
	AddedMs *Percentiles `json:"added_ms,omitempty"`
}

// Percentiles of a latency distribution, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Validate reports the first option that makes no sense.
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

// Run makes the load until its duration has passed or the context ends.
func Run(ctx context.Context, options Options) (Report, error) {
	if err := options.Validate(); err != nil {
		return Report{}, err
	}
	client := caller.New(options.Caller)
	defer client.Close()
	recorder := newRecorder()
	direct := newDirect(options)
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
		inFlight.Go(func() { recorder.fleet(client.Do(ctx, request)) })
		if direct != nil {
			inFlight.Go(func() { recorder.direct(direct.do(ctx)) })
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

// directCaller sends the same requests straight to a target.
type directCaller struct {
	client *http.Client
	method string
	url    string
}

func newDirect(options Options) *directCaller {
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

// do returns the latency of one direct request, or false when it failed.
func (d *directCaller) do(ctx context.Context) (time.Duration, bool) {
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

// recorder collects results of concurrent requests.
type recorder struct {
	mu         sync.Mutex
	counts     Report
	fleetTimes *hdrhistogram.Histogram
	directTime *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	return &recorder{
		counts:     Report{Reasons: make(map[string]int)},
		fleetTimes: hdrhistogram.New(lowestMicros, highestMicros, digits),
		directTime: hdrhistogram.New(lowestMicros, highestMicros, digits),
	}
}

func (r *recorder) fleet(result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	switch result.Outcome {
	case outcome.Answered:
		r.counts.Answered++
		_ = r.fleetTimes.RecordValue(result.Latency.Microseconds())
	case outcome.NotRun:
		r.counts.NotRun++
		r.counts.Reasons[result.Reason]++
	default:
		r.counts.MayHaveRun++
		r.counts.Reasons[result.Reason]++
	}
}

func (r *recorder) direct(latency time.Duration, ok bool) {
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.directTime.RecordValue(latency.Microseconds())
}

func (r *recorder) report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := r.counts
	report.FleetMs = percentiles(r.fleetTimes)
	if r.directTime.TotalCount() > 0 {
		direct := percentiles(r.directTime)
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
