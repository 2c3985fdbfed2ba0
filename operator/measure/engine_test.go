package measure

import (
	"context"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
)

// shippedScenario returns a shipped scenario by name.
func shippedScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	scenarios, err := ShippedScenarios()
	if err != nil {
		t.Fatal(err)
	}
	for _, scenario := range scenarios {
		if scenario.Name == name {
			return scenario
		}
	}
	t.Fatalf("no scenario %q", name)
	return nil
}

// testWarmup is shorter than the services' own warm-up, to keep the tests fast.
const testWarmup = document.Duration(5 * time.Second)

// quickRun measures one service of a shipped scenario at 70 % load in quick mode.
func quickRun(t *testing.T, name, service string) Report {
	t.Helper()
	scenario := shippedScenario(t, name)
	scenario.Services = []string{service}
	scenario.Loads = []float64{0.7}
	scenario.Warmup = testWarmup
	report, err := Run(context.Background(), Options{Scenarios: []*Scenario{scenario}, Quick: true, Parallel: 2})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestRunIsDeterministic(t *testing.T) {
	first, second := quickRun(t, "errors", "berth"), quickRun(t, "errors", "berth")
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs of the same scenario and seed gave different results")
	}
}

func TestEveryRequestEndsOnce(t *testing.T) {
	scenario := shippedScenario(t, "hung")
	scenario.size, _ = findServiceSize("booking")
	scenario.load = 0.7
	for _, policy := range Policies() {
		e := newEngine(scenario, policy, 7, scenario.Duration.Std())
		e.warmupEnd = 0
		if err := e.run(context.Background()); err != nil {
			t.Fatal(err)
		}
		ended := e.record.answeredCount
		for _, count := range e.record.refusals {
			ended += count
		}
		// Each request ends by its deadline, so the requests still in progress at
		// the end arrived within the last requestDeadline; 1.2 allows for
		// randomness. A request that ended twice makes the difference negative,
		// and so, as an unsigned number, larger than the bound.
		inProgress := e.record.arrivedCount - ended
		bound := uint64(e.capacity() * scenario.load * requestDeadline.Seconds() * 1.2)
		if inProgress > bound {
			t.Errorf("%s: %d of %d requests have not ended, bound %d", policy.Name, inProgress, e.record.arrivedCount, bound)
		}
	}
}

func TestParseScenarioRejectsInvalidInput(t *testing.T) {
	for name, content := range map[string]string{
		"unknown field":   `{"name":"x","duration":"1s","colour":"red"}`,
		"no duration":     `{"name":"x"}`,
		"unknown service": `{"name":"x","duration":"1s","services":["tea"]}`,
		"unknown fault":   `{"name":"x","duration":"1s","faults":[{"kind":"rain"}]}`,
		"load of zero":    `{"name":"x","duration":"1s","loads":[0]}`,
	} {
		if _, err := ParseScenario([]byte(content)); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

func TestPlotRequiresSeries(t *testing.T) {
	scenario := shippedScenario(t, "wrong")
	scenario.Services, scenario.Loads, scenario.Baselines = []string{"berth"}, []float64{0.7}, false
	scenario.Warmup = testWarmup
	options := Options{Scenarios: []*Scenario{scenario}, Quick: true, Series: true}
	report, err := Run(context.Background(), options)
	if err != nil {
		t.Fatal(err)
	}
	result := &report.Results[0]
	if err := result.Plot(filepath.Join(t.TempDir(), "run.svg")); err != nil {
		t.Error(err)
	}
	result.Series = nil
	if err := result.Plot(filepath.Join(t.TempDir(), "run.svg")); err == nil {
		t.Error("a result without a series was plotted")
	}
}
