package hedge_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// modelRun describes one cell of the table.
type modelRun struct {
	name string
	load float64
	// slowTargets is the share of targets that are slow by slowFactor in slowShare of their
	// requests.
	slowTargets, slowFactor, slowShare float64
	// flapPeriod is the time after which other targets are slow; zero for never.
	flapPeriod time.Duration
	// isNarrow is true for similar durations, isHidden when slow targets don't become suspects.
	isNarrow, isHidden bool
}

// figures are the results of the runs with one ratio, over all seeds.
type figures struct {
	kinds []*modelKind
	extra float64
}

const (
	modelWarmup, modelLength = 10 * time.Second, 40 * time.Second
	modelSeeds               = 4
)

// play runs a cell for one ratio.
func (c modelRun) play(ratio float64) figures {
	total := figures{kinds: modelKinds()}
	for seed := range uint64(modelSeeds) {
		m := newModel(ratio, c.load, seed)
		m.isNarrow, m.isHidden = c.isNarrow, c.isHidden
		m.setMedian()
		begin := m.now
		for _, kind := range m.kinds {
			m.arrive(kind)
		}
		m.run(begin + modelWarmup)
		m.now = begin + modelWarmup
		m.measured = m.now
		c.slowDown(m, 0)
		m.run(begin + modelWarmup + modelLength)
		for i, kind := range m.kinds {
			total.kinds[i].add(kind)
		}
	}
	total.extra = float64(total.kinds[0].hedges) / float64(total.kinds[0].arrived+total.kinds[1].arrived)
	return total
}

// slowDown makes some targets slow and the others usual.
func (c modelRun) slowDown(m *model, from int) {
	count := int(c.slowTargets * modelTargets)
	for i, t := range m.targets {
		t.slowFactor, t.slowShare = 1, 0
		if (i-from+modelTargets)%modelTargets < count {
			t.slowFactor, t.slowShare = c.slowFactor, c.slowShare
		}
	}
	if c.flapPeriod > 0 {
		m.at(m.now+c.flapPeriod, func() { c.slowDown(m, (from+count)%modelTargets) })
	}
}

func (k *modelKind) add(other *modelKind) {
	k.latencies = append(k.latencies, other.latencies...)
	k.arrived, k.served, k.inTime, k.hedges = k.arrived+other.arrived, k.served+other.served, k.inTime+other.inTime, k.hedges+other.hedges
}

func (k *modelKind) quantile(q float64) time.Duration {
	slices.Sort(k.latencies)
	return k.latencies[min(int(q*float64(len(k.latencies))), len(k.latencies)-1)]
}

func (k *modelKind) inTimeShare() float64 { return float64(k.inTime) / float64(k.arrived) }

func modelRuns() []modelRun {
	flapping := slow(0.7)
	flapping.name, flapping.flapPeriod = "slow-10x, others each 6 s", 6*time.Second
	gray, grayLoaded := slow(0.7), slow(0.9)
	gray.name, gray.slowShare = "gray: slow-10x for 1 in 5", 0.2
	grayLoaded.name, grayLoaded.slowShare = gray.name, gray.slowShare
	hidden := slow(0.7)
	hidden.name, hidden.isHidden = "slow-10x, not noticed", true
	narrowGray := slowNarrow(0.7)
	narrowGray.name, narrowGray.slowShare = "gray, narrow", 0.2
	calmNarrow := calm(0.7)
	calmNarrow.name, calmNarrow.isNarrow = "calm, narrow", true
	return []modelRun{
		calm(0.7), calm(0.9), slow(0.7), slow(0.9), flapping, gray, grayLoaded, hidden, calmNarrow, slowNarrow(0.7), slowNarrow(0.9), narrowGray,
	}
}

var table = flag.Bool("table", false, "play all cells of the table of docs/design/22-hedging.md and print it")

// played holds the results of cells that several tests need.
var played = make(map[string]figures)

func (c modelRun) playOnce(ratio float64) figures {
	key := fmt.Sprint(c, ratio)
	if _, ok := played[key]; !ok {
		played[key] = c.play(ratio)
	}
	return played[key]
}

// goalRatio is the extra work at which the goals must be met.
const goalRatio = 0.02

func calm(load float64) modelRun { return modelRun{name: "calm", load: load} }

func slow(load float64) modelRun {
	return modelRun{name: "slow-10x", load: load, slowTargets: 0.1, slowFactor: 10, slowShare: 1}
}

func slowNarrow(load float64) modelRun {
	c := slow(load)
	c.name, c.isNarrow = "slow-10x, narrow", true
	return c
}

// checkHalved checks that hedging halves a quantile of idempotent requests while 10% of the
// targets are slow, at goalRatio extra work.
func checkHalved(t *testing.T, quantile float64) {
	t.Helper()
	if testing.Short() {
		t.Skip("runs the queue model")
	}
	for _, c := range []modelRun{slow(0.7), slowNarrow(0.7)} {
		before, f := c.playOnce(0).kinds[0].quantile(quantile), c.playOnce(goalRatio)
		if now := f.kinds[0].quantile(quantile); now > before/2 || f.extra > goalRatio {
			t.Errorf("%s: %v, %v without hedges, at %.4f hedges a request", c.name, now, before, f.extra)
		}
	}
}

// TestP999IsHalvedWhileTargetsAreSlow guards the goal for the 99.9th percentile.
func TestP999IsHalvedWhileTargetsAreSlow(t *testing.T) { checkHalved(t, 0.999) }

// TestP99IsHalvedWhileTargetsAreSlow guards the goal for the 99th percentile.
func TestP99IsHalvedWhileTargetsAreSlow(t *testing.T) { checkHalved(t, 0.99) }

// TestNoKindIsServedWorse guards against hedges that take slots from other requests, at 90% load
// and on a calm day.
func TestNoKindIsServedWorse(t *testing.T) {
	if testing.Short() {
		t.Skip("runs the queue model")
	}
	const latencyNoise, shareNoise = 0.05, 0.002
	for _, c := range []modelRun{calm(0.7), calm(0.9), slow(0.9)} {
		base, f := c.playOnce(0), c.playOnce(goalRatio)
		for i, k := range f.kinds {
			before := base.kinds[i]
			if k.inTimeShare() < before.inTimeShare()-shareNoise || float64(k.quantile(0.99)) > (1+latencyNoise)*float64(before.quantile(0.99)) {
				t.Errorf("%s, load %.1f: %s in time %.4f, p99 %v; %.4f, %v without hedges", c.name, c.load, k.name,
					k.inTimeShare(), k.quantile(0.99), before.inTimeShare(), before.quantile(0.99))
			}
		}
	}
}

// TestTableOfRatios prints the table of docs/design/22-hedging.md: go test ./policy/hedge -v -run
// TableOfRatios -table.
func TestTableOfRatios(t *testing.T) {
	if !*table {
		t.Skip("plays the queue model for minutes; set -table")
	}
	var text strings.Builder
	text.WriteString("| scenario | load | ratio | p50 | p99 | p99.9 | in time | once: p99 | once: in time | hedges a request |\n|---|---|---|---|---|---|---|---|---|---|\n")
	for _, c := range modelRuns() {
		for _, ratio := range []float64{0, 0.01, 0.02, 0.05} {
			f := c.playOnce(ratio)
			idempotent, once := f.kinds[0], f.kinds[1]
			fmt.Fprintf(&text, "| %s | %.0f%% | %.0f%% | %d | %d | %d | %.4f | %d | %.4f | %.4f |\n", c.name, 100*c.load, 100*ratio,
				idempotent.quantile(0.5).Milliseconds(), idempotent.quantile(0.99).Milliseconds(), idempotent.quantile(0.999).Milliseconds(), idempotent.inTimeShare(),
				once.quantile(0.99).Milliseconds(), once.inTimeShare(), f.extra)
		}
	}
	t.Logf("\n%s", text.String())
}
