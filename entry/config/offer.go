package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/entry/events"
	"github.com/primroseloom/primroseloom/policy/generation"
)

// identify renders a root and names it.
func identify(root document.Root) ([]byte, generation.Root, error) {
	content, err := json.Marshal(root)
	if err != nil {
		return nil, generation.Root{}, fmt.Errorf("render root: %w", err)
	}
	return content, generation.Root{Generation: root.Generation, Digest: document.Digest(content)}, nil
}

// offer judges a root and wakes the applying goroutine when it is newer.
func (m *Manager) offer(content []byte, peer string, replica int) error {
	root, err := document.ParseRoot(content)
	if err != nil {
		m.metrics.malformedRoots.Inc(1)
		return err
	}
	id := generation.Root{Generation: root.Generation, Digest: document.Digest(content)}
	source := generation.FromPeer
	if peer == "" {
		source = generation.FromPlatform
	}
	m.mu.Lock()
	verdict := m.decider.Offer(id, source)
	newest := m.decider.Newest()
	if verdict.Accepted() {
		m.newest = &candidate{id: id, root: root, content: content, peer: peer, replica: replica}
	}
	if source == generation.FromPlatform && verdict != generation.Older {
		m.confirmed = time.Now()
	}
	m.mu.Unlock()
	m.wakeUp()
	m.noteVerdict(verdict, id, newest, peer, replica)
	return nil
}

// noteVerdict counts and logs the offers that are out of order.
func (m *Manager) noteVerdict(verdict generation.Decision, offered, newest generation.Root, peer string, replica int) {
	from := peer
	if peer == "" {
		from = fmt.Sprintf("platform replica %d", replica)
	}
	switch verdict {
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

// heardEmpty notes that a source was reached that holds no newer root.
func (m *Manager) heardEmpty(source generation.Source) {
	m.mu.Lock()
	m.decider.NoteResponse(source)
	m.mu.Unlock()
	m.wakeUp()
}

// confirm notes that the platform confirmed the newest root, as long ago as given.
func (m *Manager) confirm(age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := time.Now().Add(-age)
	if at.After(m.confirmed) {
		m.confirmed = at
	}
}

// confirmedAge returns the time since the last confirmation heard of.
func (m *Manager) confirmedAge() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.confirmed)
}

func (m *Manager) newestRoot() generation.Root {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.decider.Newest()
}

// setProblem reports why the newest root is not in force; empty when it is.
func (m *Manager) setProblem(problem string) {
	m.mu.Lock()
	same := m.problem == problem
	m.problem = problem
	m.mu.Unlock()
	if !same {
		m.report()
	}
}

// report carries the state to the other members.
func (m *Manager) report() {
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
