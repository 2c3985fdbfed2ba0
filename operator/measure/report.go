package measure

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/primroseloom/primroseloom/config/document"
)

// Report is the result of an experiment.
type Report struct {
	Results []Result `json:"results"`
}

// Result holds the figures of one scenario for one service, load and policy.
type Result struct {
	Scenario string  `json:"scenario"`
	Service  string  `json:"service"`
	Load     float64 `json:"load"`
	Policy   string  `json:"policy"`
	Seeds    int     `json:"seeds"`

	Requests           uint64            `json:"requests"`
	Answered           uint64            `json:"answered"`
	Refusals           map[string]uint64 `json:"refusals"`
	AttemptsPerRequest float64           `json:"attempts_per_request"`
	Trials             uint64            `json:"trials"`
	// FaultyShare is the number of attempts to faulty targets, without trials,
	// as a share of all attempts.
	FaultyShare float64 `json:"attempts_to_sick_share"`

	// DetectionP50 and DetectionP99 are percentiles of the time from the fault's
	// start until the last ordinary attempt to the target. TimesAhead is the better baseline's
	// DetectionP50 divided by this one.
	Detections   int               `json:"detections"`
	DetectionP50 document.Duration `json:"detection_p50"`
	DetectionP99 document.Duration `json:"detection_p99"`
	TimesAhead   float64           `json:"times_ahead_of_better_baseline,omitempty"`
	// EjectedP50 and EjectedP99 are percentiles of the time from the fault's start
	// until nine in ten VMs have ejected the target.
	EjectedP50   document.Duration `json:"ejected_p50,omitempty"`
	EjectedP99   document.Duration `json:"ejected_p99,omitempty"`
	NeverEjected int               `json:"never_ejected"`
	// InformationLimit is the lower bound of the mean detection time that the
	// rate of requests allows; see informationLimit.
	InformationLimit document.Duration `json:"information_limit,omitempty"`

	Ejections      int     `json:"ejections"`
	FalseEjections int     `json:"false_ejections"`
	TargetMonths   float64 `json:"target_months"`
	Avoidances     int     `json:"path_avoidances"`
	FloorSlots     int     `json:"floor_slots"`
	FloorBreaks    int     `json:"floor_breaks"`
	// MinSlots is the minimum number of slots in service in the view of one VM
	// while it ejects or avoids a target; MinSlotsNotEjected is the minimum
	// number of slots of targets that no VM ejects. Draining targets don't count.
	MinSlots           int `json:"least_slots"`
	MinSlotsNotEjected int `json:"least_slots_not_ejected_by_any_vm"`

	LatencyP50 document.Duration `json:"latency_p50"`
	LatencyP99 document.Duration `json:"latency_p99"`
	// IdealP50 and IdealP99 are the latencies of a single queue for all slots.
	IdealP50      document.Duration `json:"ideal_p50"`
	IdealP99      document.Duration `json:"ideal_p99"`
	SmallP99      document.Duration `json:"small_p99,omitempty"`
	SmallP99Alone document.Duration `json:"small_p99_alone,omitempty"`
	SmallRefused  uint64            `json:"small_refused"`
	// SmallRefusedAlone counts refusals of small customers in runs without the others.
	SmallRefusedAlone uint64 `json:"small_refused_alone"`
	// BytesPerVMSecond is the bytes per second of peer messages that a VM receives,
	// on average.
	BytesPerVMSecond float64 `json:"bytes_per_vm_second"`

	// Missed lists the bounds that the result does not meet.
	Missed []string  `json:"missed,omitempty"`
	Series [][]Point `json:"series,omitempty"`
}

// newReport summarizes the runs of every cell and checks the bounds.
func newReport(cells []cell, records [][]*recorder) Report {
	var report Report
	for i := range cells {
		report.Results = append(report.Results, summarize(&cells[i], records[i]))
	}
	for i := range cells {
		checkBounds(&cells[i], report.Results, i)
	}
	return report
}

// summarize combines the runs of all seeds of one cell.
func summarize(c *cell, records []*recorder) Result {
	result := Result{Scenario: c.scenario.Name, Service: c.scenario.size.Name, Load: c.scenario.load,
		Policy: c.policy.Name, Seeds: len(records), Refusals: make(map[string]uint64)}
	latency := hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
	small := hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
	var detection, ejected []time.Duration
	var attempts, toFaulty, bytes uint64
	result.MinSlots, result.MinSlotsNotEjected = records[0].minSlots, records[0].minSlotsNotEjected
	for _, r := range records {
		result.add(r)
		latency.Merge(r.latency)
		small.Merge(r.small)
		detection = append(detection, r.detectionTimes...)
		ejected = append(ejected, r.ejectionTimes...)
		attempts += r.attempts
		toFaulty += r.attemptsToFaulty
		bytes += r.messageBytes
	}
	result.AttemptsPerRequest = share(attempts, result.Requests)
	result.FaultyShare = share(toFaulty, attempts)
	size := c.scenario.size
	seconds := c.duration.Seconds() * float64(len(records))
	result.TargetMonths = seconds * float64(size.Targets) / month.Seconds()
	result.BytesPerVMSecond = float64(bytes) / seconds / float64(size.VMs)
	result.LatencyP50, result.LatencyP99 = quantile(latency, 50), quantile(latency, 99)
	result.SmallP99 = quantile(small, 99)
	result.summarizeSmallAlone(records)
	result.Detections = len(detection)
	result.DetectionP50, result.DetectionP99 = medianAndP99(detection)
	result.EjectedP50, result.EjectedP99 = medianAndP99(ejected)
	result.NeverEjected = len(detection) - len(ejected)
	result.simulateIdealQueue(c)
	result.InformationLimit = informationLimit(&c.scenario)
	return result
}

// month is the unit of time of the rates of false ejections.
const month = 30 * 24 * time.Hour

// add adds one seed's counts.
func (r *Result) add(record *recorder) {
	r.Requests += record.arrivedCount
	r.Answered += record.answeredCount
	for reason, count := range record.refusals {
		r.Refusals[reason] += count
	}
	r.Trials += record.trials
	r.Ejections += record.ejections
	r.FalseEjections += record.falseEjections
	r.Avoidances += record.avoidances
	r.FloorBreaks += record.floorBreaks
	r.FloorSlots = record.floorSlots
	r.MinSlots = min(r.MinSlots, record.minSlots)
	r.MinSlotsNotEjected = min(r.MinSlotsNotEjected, record.minSlotsNotEjected)
	r.SmallRefused += record.smallRefused
	if record.series != nil {
		r.Series = append(r.Series, record.series)
	}
}

// medianAndP99 returns the 50th and the 99th percentile.
func medianAndP99(times []time.Duration) (p50, p99 document.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	at := func(q float64) document.Duration {
		return document.Duration(times[min(len(times)-1, int(q*float64(len(times))))])
	}
	return at(0.5), at(0.99)
}

func quantile(h *hdrhistogram.Histogram, percent float64) document.Duration {
	return document.Duration(time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond)
}

func share(part, whole uint64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// MissedBounds returns a line for each bound that was not met.
func (r Report) MissedBounds() []string {
	var lines []string
	for _, result := range r.Results {
		for _, missed := range result.Missed {
			lines = append(lines, fmt.Sprintf("%s %s %.0f%%: %s", result.Scenario, result.Service, 100*result.Load, missed))
		}
	}
	return lines
}

// JSON returns the report as indented JSON.
func (r Report) JSON() ([]byte, error) {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode report: %w", err)
	}
	return content, nil
}

// WriteTable writes the report for people.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "scenario\tservice\tload\tpolicy\tlast sent p50\tp99\tahead\tejected p50\tp99\tlimit\teject\tfalse\tavoid\tfloor\tp50\tp99\tideal p99\tanswered\tattempts\tnews B/s\tmissed")
	for _, result := range r.Results {
		result.writeRow(table)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// writeRow writes one result as a row of the table.
func (r *Result) writeRow(w io.Writer) {
	detection, detection99, ejected, ejected99, limit, ahead := "-", "-", "-", "-", "-", "-"
	if r.Detections > 0 {
		detection, detection99 = formatDuration(r.DetectionP50), formatDuration(r.DetectionP99)
	}
	if r.EjectedP50 > 0 {
		ejected, ejected99 = formatDuration(r.EjectedP50), formatDuration(r.EjectedP99)
	}
	if r.InformationLimit > 0 {
		limit = formatDuration(r.InformationLimit)
	}
	if r.TimesAhead > 0 {
		ahead = fmt.Sprintf("%.1fx", r.TimesAhead)
	}
	fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.4f\t%.3f\t%.0f\t%s\n",
		r.Scenario, r.Service, 100*r.Load, r.Policy, detection, detection99, ahead, ejected, ejected99, limit,
		r.Ejections, r.FalseEjections, r.Avoidances, r.FloorBreaks, formatDuration(r.LatencyP50), formatDuration(r.LatencyP99),
		formatDuration(r.IdealP99), share(r.Answered, r.Requests), r.AttemptsPerRequest, r.BytesPerVMSecond, strings.Join(r.Missed, "; "))
}

// formatDuration formats a duration, rounded to the millisecond.
func formatDuration(d document.Duration) string { return d.Std().Round(time.Millisecond).String() }
