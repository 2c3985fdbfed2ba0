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
	// deadlineSlack is the time past its deadline by which a request must have ended.
	deadlineSlack = 250 * time.Millisecond
	// resends is how often a keyed request may be sent again.
	resends = 2
)

// stream is a steady flow of one kind of request by one customer.
type stream struct {
	customer string
	service  string
	host     string
	// rate is in requests a second.
	rate       float64
	method     string
	path       string
	atMostOnce bool
}

func streams() []stream {
	flows := []stream{
		{customer: "portal", service: "booking", host: bookingHost, rate: 120, method: http.MethodGet, path: "/availability"},
		{customer: "portal", service: "booking", host: bookingHost, rate: 40, method: http.MethodPost, path: "/bookings", atMostOnce: true},
		{customer: "portal", service: "records", host: recordsHost, rate: 30, method: http.MethodGet, path: "/visits"},
	}
	for _, spa := range []string{"spa-haapsalu", "spa-kuressaare"} {
		flows = append(flows, stream{customer: spa, service: "booking", host: bookingHost, rate: 3, method: http.MethodGet, path: "/availability"})
	}
	return flows
}

// told is what a caller was told about one request.
type told struct {
	id         string
	atMostOnce bool
	result     caller.Result
}

// traffic makes the demo's load and keeps what callers were told.
type traffic struct {
	scene  *scene
	direct *hdrhistogram.Histogram
	fleet  *hdrhistogram.Histogram

	mu   sync.Mutex
	told []told
}

func (s *scene) newTraffic() *traffic {
	const highestMicros, digits = 60_000_000, 3
	return &traffic{
		scene:  s,
		direct: hdrhistogram.New(1, highestMicros, digits),
		fleet:  hdrhistogram.New(1, highestMicros, digits),
	}
}

// run makes the load until the context ends, then waits for what is in progress.
func (t *traffic) run(ctx context.Context) {
	var group sync.WaitGroup
	for i, flow := range streams() {
		group.Go(func() { t.flow(ctx, i, flow) })
	}
	group.Go(func() { t.directFlow(ctx) })
	group.Wait()
}

func (t *traffic) flow(ctx context.Context, number int, flow stream) {
	client := caller.New(caller.Options{
		Entrances:  t.scene.Entrances(),
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
			t.keep(told{id: request.ID, atMostOnce: flow.atMostOnce, result: result})
		})
	})
	inProgress.Wait()
}

func (t *traffic) keep(fact told) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told = append(t.told, fact)
	if fact.result.Outcome == outcome.Answered {
		_ = t.fleet.RecordValue(fact.result.Latency.Microseconds())
	}
}

// directFlow calls targets without the fleet, for comparison.
func (t *traffic) directFlow(ctx context.Context) {
	var addresses []string
	for name, running := range t.scene.Targets {
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
	_ = t.direct.RecordValue(time.Since(started).Microseconds())
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

// report compares what callers were told with what the targets ran.
func (t *traffic) report(s *scene) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	runs := s.runs()
	report := Report{Requests: len(t.told), Reasons: make(map[string]int)}
	for _, fact := range t.told {
		report.add(fact, runs[fact.id])
	}
	const micros = 1000
	report.AddedMs.P50 = float64(t.fleet.ValueAtQuantile(50)-t.direct.ValueAtQuantile(50)) / micros
	report.AddedMs.P99 = float64(t.fleet.ValueAtQuantile(99)-t.direct.ValueAtQuantile(99)) / micros
	return report
}

// add counts one request and the number of times that targets ran it.
func (r *Report) add(fact told, ran int) {
	switch fact.result.Outcome {
	case outcome.Answered:
		r.Answered++
		r.addAnswer(fact)
	case outcome.NotRun:
		r.NotRun++
		r.Reasons[fact.result.Reason]++
		if ran > 0 {
			r.NotRunButRan++
		}
	default:
		r.MayHaveRun++
		r.Reasons[fact.result.Reason]++
	}
	if fact.result.Truncated {
		r.Truncated++
	}
	if fact.atMostOnce && ran > 1 {
		r.RanTwice++
	}
	if fact.result.Latency > requestTimeout+deadlineSlack {
		r.Unanswered++
	}
}

func (r *Report) addAnswer(fact told) {
	if fact.result.Status != http.StatusOK {
		return
	}
	var answer target.Answer
	if json.Unmarshal(fact.result.Body, &answer) != nil || answer.RequestID != fact.id {
		r.WrongResponses++
	}
}

// runs returns how often the targets ran each request.
func (s *scene) runs() map[string]int {
	total := make(map[string]int)
	for _, running := range s.Targets {
		for id, count := range running.Runs() {
			total[id] += count
		}
	}
	return total
}
