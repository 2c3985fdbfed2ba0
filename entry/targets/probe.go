package targets

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/subset"
	"github.com/primroseloom/primroseloom/wire/primroseloomv1"

	"github.com/primroseloom/primroseloom/entry/targetconn"
)

const (
	// probersPerTarget is the number of VMs that probe each target.
	probersPerTarget = 3
	// probeInterval is the time between two probes of a target by one VM.
	probeInterval = time.Second
	probeTimeout  = time.Second
	// maxProbeBytes bounds the response body of a health or load endpoint.
	maxProbeBytes = 4 << 10
)

// probeState holds when this VM probes a target next and whether a probe is
// running.
type probeState struct {
	next    time.Time
	running bool
}

// loadReport is the response body of a target's load endpoint.
type loadReport struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
	Queued   int `json:"queued"`
}

// probe starts the probes that are due on this VM.
func (m *Manager) probe(ctx context.Context, s *service) {
	for _, t := range s.probesDue(time.Now(), m.vm) {
		go func() {
			m.probeTarget(ctx, s, t)
			s.mu.Lock()
			t.probes.running = false
			s.mu.Unlock()
		}()
	}
}

// probesDue returns the targets that this VM must probe now and marks their
// probes as running.
func (s *service) probesDue(now time.Time, vm string) []*target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.definition.HealthPath == "" && s.definition.LoadPath == "" {
		return nil
	}
	var due []*target
	for name, t := range s.targets {
		if t.probes.running || now.Before(t.probes.next) {
			continue
		}
		t.probes.next = now.Add(probeInterval)
		if isProber(s.name+"/"+name, vm, s.serving) {
			t.probes.running = true
			due = append(due, t)
		}
	}
	return due
}

// isProber reports whether this VM is one of the VMs that probe a target.
func isProber(key, vm string, serving []subset.VM) bool {
	isSelf := func(candidate subset.VM) bool { return candidate.Name == vm }
	if !slices.ContainsFunc(serving, isSelf) {
		return false
	}
	return slices.ContainsFunc(subset.Choose("probe/"+key, serving, probersPerTarget), isSelf)
}

// probeTarget queries the health endpoint and the load endpoint of a target.
func (m *Manager) probeTarget(ctx context.Context, s *service, t *target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	s.mu.Lock()
	definition, probed := s.definition, t.definition
	s.mu.Unlock()
	if definition.HealthPath != "" {
		m.probeHealth(ctx, s, t, probed, definition)
	}
	if definition.LoadPath != "" {
		s.probeLoad(ctx, t.pool, probed, definition.LoadPath)
	}
}

func (m *Manager) probeHealth(ctx context.Context, s *service, t *target, probed document.Target, definition *document.Service) {
	response, _, err := fetch(ctx, t.pool, probed, definition.HealthPath)
	if err != nil && ctx.Err() == nil && targetconn.IsConnectionLimit(err) {
		s.metrics.countProbe("skipped")
		return
	}
	name := probed.Name
	draining := err == nil && response.Header.Get(definition.Drain.Header) != "" && definition.Drain.Header != ""
	if draining {
		s.metrics.countProbe("leaving")
		m.recordLeaving(s, name)
		return
	}
	healthy := err == nil && response.StatusCode == http.StatusOK
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if healthy {
		t.leaving.clearReported(now)
	}
	s.evaluator.recordProbe(now, name, healthy)
	s.applyConditions(now)
	s.metrics.countProbe(map[bool]string{true: "healthy", false: "unhealthy"}[healthy])
}

// recordLeaving records that a target announced that it is leaving, and
// publishes it to the other VMs.
func (m *Manager) recordLeaving(s *service, name string) {
	if !s.markLeaving(time.Now(), name) {
		return
	}
	events.TargetLeaving.Log(m.logger, "service", s.name, "target", name)
	m.publishLeaving(s.name, name)
}

// publishLeaving tells the other VMs of the service that a target is leaving.
func (m *Manager) publishLeaving(service, target string) {
	m.mu.Lock()
	news := m.news
	m.mu.Unlock()
	if news == nil {
		return
	}
	body := &primroseloomv1.NewsItem_Leaving{Leaving: &primroseloomv1.TargetLeaving{Target: target}}
	news.Publish(&primroseloomv1.NewsItem{Service: service, Body: body}, true)
}

func (s *service) probeLoad(ctx context.Context, p *targetconn.Pool, probed document.Target, path string) {
	response, content, err := fetch(ctx, p, probed, path)
	if err != nil || response.StatusCode != http.StatusOK {
		return
	}
	var report loadReport
	if json.Unmarshal(content, &report) != nil {
		s.metrics.countProbe("load_unreadable")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.balancer.InFlight(probed.Name)
	s.balancer.SetOthersInFlight(probed.Name, float64(report.InFlight+report.Queued-own))
}

// fetch sends a GET request to a target through its pool and reads at most
// maxProbeBytes of the response body.
func fetch(ctx context.Context, p *targetconn.Pool, probed document.Target, path string) (*http.Response, []byte, error) {
	name := probed.Name
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+probed.Address+path, nil)
	if err != nil {
		return nil, nil, fmt.Errorf("probe target %s: %w", name, err)
	}
	exchange, response, err := targetconn.Send(p, name, request)
	if err != nil {
		return nil, nil, fmt.Errorf("probe target %s: %w", name, err)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxProbeBytes))
	_ = response.Body.Close()
	exchange.Finish(err == nil)
	if err != nil {
		return nil, nil, fmt.Errorf("read probe of target %s: %w", name, err)
	}
	return response, content, nil
}
