package measure

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// idealRequests is the number of requests in the simulation of the ideal queue.
const idealRequests = 200_000

// freeTimes orders slots by the time at which they become free.
type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }

// Push is for container/heap.
func (f *freeTimes) Push(x any) { *f = append(*f, x.(time.Duration)) }

// Pop is for container/heap.
func (f *freeTimes) Pop() any {
	last := len(*f) - 1
	value := (*f)[last]
	*f = (*f)[:last]
	return value
}

// simulateIdealQueue fills in the latencies of an ideal scheduler: a single
// queue that serves all slots of healthy targets.
func (r *Result) simulateIdealQueue(c *cell) {
	size := c.scenario.size
	random := rand.New(rand.NewPCG(1, 2))
	serviceTimes := newServiceTimeSource(size.MeanTime, random)
	slots := make(freeTimes, size.Targets*size.Slots)
	interval := size.MeanTime.Seconds() / float64(len(slots)) / c.scenario.load
	latency := hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
	var now time.Duration
	for range idealRequests {
		now += time.Duration(random.ExpFloat64() * interval * float64(time.Second))
		end := max(now, slots[0]) + serviceTimes.draw()
		slots[0] = end
		heap.Fix(&slots, 0)
		elapsed := min(end-now+2*size.Delay, requestDeadline)
		_ = latency.RecordValue(elapsed.Microseconds())
	}
	r.IdealP50, r.IdealP99 = quantile(latency, 50), quantile(latency, 99)
}
