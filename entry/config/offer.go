package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/generation"
)

// encodeRoot returns a root's JSON encoding and its generation and digest.
func encodeRoot(root document.Root) ([]byte, generation.Root, error) {
	content, err := json.Marshal(root)
	if err != nil {
		return nil, generation.Root{}, fmt.Errorf("encode root: %w", err)
	}
	return content, generation.Root{Generation: root.Generation, Digest: document.Digest(content)}, nil
}

// offer passes a root to the decider, wakes the applying goroutine and returns the root's
// generation. An empty peer means that the root comes from the given platform replica.
func (m *Manager) offer(content []byte, peer string, replica int) (offered uint64, err error) {
	root, err := document.ParseRoot(content)
	if err != nil {
		m.metrics.malformedRoots.Inc(1)
		return 0, err
	}
	id := generation.Root{Generation: root.Generation, Digest: document.Digest(content)}
	source := generation.FromPeer
	if peer == "" {
		source = generation.FromPlatform
	}
	m.mu.Lock()
	decision := m.decider.Offer(id, source)
	newest := m.decider.Newest()
	if decision.Accepted() {
		m.newest = &candidate{id: id, root: root, content: content, peer: peer, replica: replica}
	}
	if source == generation.FromPlatform && decision != generation.Older {
		m.confirmedAt = time.Now()
	}
	m.mu.Unlock()
	m.wakeUp()
	m.recordDecision(decision, id, newest, peer, replica)
	return id.Generation, nil
}

// recordDecision counts and logs offers that are older than the newest root or
// conflict with it.
func (m *Manager) recordDecision(decision generation.Decision, offered, newest generation.Root, peer string, replica int) {
	from := peer
	if peer == "" {
		from = fmt.Sprintf("platform replica %d", replica)
	}
	switch decision {
	case generation.Older:
		m.metrics.olderRoots.Inc(1)
		events.OlderRootIgnored.Log(m.options.Logger, "peer", from, "generation", offered.Generation, "newest", newest.Generation)
	case generation.Conflict, generation.ConflictNewer:
		m.metrics.rootConflicts.Inc(1)
		events.RootConflict.Log(m.options.Logger, "peer", from, "generation", offered.Generation, "digest", offered.Digest, "taken", newest.Digest)
	}
}

func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// noteNoNewerRoot records that a source responded without a newer root.
func (m *Manager) noteNoNewerRoot(source generation.Source) {
	m.mu.Lock()
	m.decider.NoteResponse(source)
	m.mu.Unlock()
	m.wakeUp()
}

// confirm records that the platform confirmed the newest root the given time ago.
func (m *Manager) confirm(age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.Now().Add(-age)
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// confirmedAge returns the time since the platform last confirmed the newest root,
// to the knowledge of this instance.
func (m *Manager) confirmedAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.confirmedAt)
}

func (m *Manager) newestRoot() generation.Root {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.decider.Newest()
}

// setProblem sets and reports why the newest root is not in force; empty when
// it is.
func (m *Manager) setProblem(problem string) {
	m.mu.Lock()
	same := m.problem == problem
	m.problem = problem
	m.mu.Unlock()
	if !same {
		m.reportState()
	}
}

// reportState passes the configuration state to the reporter, which sends it to
// the other members.
func (m *Manager) reportState() {
	if m.options.Reporter == nil {
		return
	}
	m.mu.Lock()
	problem := m.problem
	m.mu.Unlock()
	var number uint64
	var rejected uint32
	if current := m.Current(); current != nil {
		number = current.Generation
		rejected = uint32(current.RejectedCount())
	}
	m.options.Reporter.SetConfiguration(number, problem, rejected)
}
