package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primroseloom/primroseloom/config/examples"
	"github.com/primroseloom/primroseloom/operator/caller"
	"github.com/primroseloom/primroseloom/policy/outcome"
	"github.com/primroseloom/primroseloom/standin/target"
)

const (
	bookingHost    = "booking.soojavee.example"
	recordsHost    = "records.soojavee.example"
	requestTimeout = 2 * time.Second
	// deadlineSlack is how long after its deadline a request may end.
	deadlineSlack = 250 * time.Millisecond
	// resends is how often a request with an idempotency key may be resent.
	resends = 2
)

// stream is a series of equal requests by one customer at a constant rate.
type stream struct {
	customer string
	service  string
	host     string
	// rate is in requests per second.
	rate       float64
	method     string
	path       string
	atMostOnce bool
}

func streams() []stream {
	all := []stream{
		{customer: "portal", service: "booking", host: bookingHost, rate: 120, method: http.MethodGet, path: "/availability"},
		{customer: "portal", service: "booking", host: bookingHost, rate: 40, method: http.MethodPost, path: "/bookings", atMostOnce: true},
		{customer: "portal", service: "records", host: recordsHost, rate: 30, method: http.MethodGet, path: "/visits"},
	}
	for _, spa := range []string{"spa-haapsalu", "spa-kuressaare"} {
		all = append(all, stream{customer: spa, service: "booking", host: bookingHost, rate: 3, method: http.MethodGet, path: "/availability"})
	}
	return all
}

// callerRecord is the result of one request as seen by the caller.
type callerRecord struct {
	id         string
	atMostOnce bool
	result     caller.Result
}

// traffic generates the demo's load and records the results that callers got.
type traffic struct {
	demo          *demoRun
	directLatency *hdrhistogram.Histogram
	fleetLatency  *hdrhistogram.Histogram

	mu      sync.Mutex
	records []callerRecord
}

func (d *demoRun) newTraffic() *traffic {
	const highestMicros, digits = 60_000_000, 3
	return &traffic{
		demo:          d,
		directLatency: hdrhistogram.New(1, highestMicros, digits),
		fleetLatency:  hdrhistogram.New(1, highestMicros, digits),
	}
}

// run generates load until the context ends, then waits for the requests in progress.
func (t *traffic) run(ctx context.Context) {
	var group sync.WaitGroup
	for i, flow := range streams() {
		group.Go(func() { t.runStream(ctx, i, flow) })
	}
	group.Go(func() { t.runDirect(ctx) })
	group.Wait()
}

func (t *traffic) runStream(ctx context.Context, number int, flow stream) {
	client := caller.New(caller.Options{
		Entrances:  t.demo.Entrances(),
		Service:    flow.service,
		Customer:   flow.customer,
		Credential: examples.Credential(flow.customer),
		Host:       flow.host,
		Timeout:    requestTimeout,
		Resends:    resends,
	})
	defer client.Close()
	var inProgress sync.WaitGroup
	pace(ctx, flow.rate, func(i int) {
		request := caller.Request{ID: fmt.Sprintf("r%d-%d", number, i), Method: flow.method, Path: flow.path, AtMostOnce: flow.atMostOnce}
		inProgress.Go(func() {
			result := client.Do(context.WithoutCancel(ctx), request)
			t.record(callerRecord{id: request.ID, atMostOnce: flow.atMostOnce, result: result})
		})
	})
	inProgress.Wait()
}

func (t *traffic) record(record callerRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, record)
	if record.result.Outcome == outcome.Answered {
		_ = t.fleetLatency.RecordValue(record.result.Latency.Microseconds())
	}
}

// runDirect calls healthy targets directly, to measure the latency without the fleet.
func (t *traffic) runDirect(ctx context.Context) {
	var addresses []string
	for name, running := range t.demo.Targets {
		if name != grayTarget {
			addresses = append(addresses, running.Address)
		}
	}
	const directRate = 50
	var inProgress sync.WaitGroup
	pace(ctx, directRate, func(i int) {
		inProgress.Go(func() { t.directCall(addresses[i%len(addresses)]) })
	})
	inProgress.Wait()
}

func (t *traffic) directCall(address string) {
	started := time.Now()
	response, err := http.Get("http://" + address + "/availability")
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.directLatency.RecordValue(time.Since(started).Microseconds())
}

// pace calls do at a fixed rate until the context ends.
func pace(ctx context.Context, rate float64, do func(i int)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(i)
		}
	}
}

// report compares the results that callers got with the requests that the targets ran.
func (t *traffic) report(d *demoRun) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := d.runCounts()
	report := Report{Requests: len(t.records), Reasons: make(map[string]int)}
	for _, record := range t.records {
		report.add(record, runs[record.id])
	}
	const microsPerMilli = 1000
	report.AddedMs.P50 = float64(t.fleetLatency.ValueAtQuantile(50)-t.directLatency.ValueAtQuantile(50)) / microsPerMilli
	report.AddedMs.P99 = float64(t.fleetLatency.ValueAtQuantile(99)-t.directLatency.ValueAtQuantile(99)) / microsPerMilli
	return report
}

// add counts one request; runCount is the number of times that targets ran it.
func (r *Report) add(record callerRecord, runCount int) {
	switch record.result.Outcome {
	case outcome.Answered:
		r.Answered++
		r.checkResponse(record)
	case outcome.NotRun:
		r.NotRun++
		r.Reasons[record.result.Reason]++
		if runCount > 0 {
			r.NotRunButRan++
		}
	default:
		r.MayHaveRun++
		r.Reasons[record.result.Reason]++
	}
	if record.result.Truncated {
		r.Truncated++
	}
	if record.atMostOnce && runCount > 1 {
		r.RanTwice++
	}
	if record.result.Latency > requestTimeout+deadlineSlack {
		r.Unanswered++
	}
}

func (r *Report) checkResponse(record callerRecord) {
	if record.result.Status != http.StatusOK {
		return
	}
	var answer target.Response
	if json.Unmarshal(record.result.Body, &answer) != nil || answer.RequestID != record.id {
		r.WrongResponses++
	}
}

// runCounts returns how often the targets ran each request, by its ID.
func (d *demoRun) runCounts() map[string]int {
	total := make(map[string]int)
	for _, running := range d.Targets {
		for id, count := range running.Runs() {
			total[id] += count
		}
	}
	return total
}
