// Package platform stands in for the service that holds the configuration.
//
// Values can be read and watched over HTTP; only the test or the operator that
// runs the stand-in writes them. The service consists of replicas that show
// the same values. Each replica can be made slow, late, frozen, down or
// one-way. Every call is counted, a waiting watch as one, and calls above the
// service's limit are refused.
package platform

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/document"
	"github.com/primroseloom/primroseloom/config/render"
)

const (
	// MaxCallsPerSecond is the number of calls a second that the service answers.
	MaxCallsPerSecond = 2000
	// historyLength is the number of versions kept of each value.
	historyLength = 64
	// publicationsKept is the number of publications whose shards are kept.
	publicationsKept = 16
)

// value is one version of a value.
type value struct {
	version uint64
	content []byte
	stored  time.Time
}

// Platform holds values in memory.
type Platform struct {
	mu       sync.Mutex
	values   map[string][]value
	changed  chan struct{}
	replicas []*Replica
	// publications are the shards' keys of the last publications, oldest first.
	publications []map[string][]byte
	calls        calls
}

// New returns a platform without values and with one replica.
func New() *Platform { return NewReplicated(1) }

// NewReplicated returns a platform with a number of replicas.
func NewReplicated(count int) *Platform {
	platform := &Platform{values: make(map[string][]value), changed: make(chan struct{})}
	for range count {
		platform.replicas = append(platform.replicas, &Replica{platform: platform})
	}
	return platform
}

// Replica returns a replica by its index.
func (p *Platform) Replica(index int) *Replica { return p.replicas[index] }

// Put stores a value under the next version.
func (p *Platform) Put(key string, content []byte) error {
	if len(content) > document.MaxValueBytes {
		return fmt.Errorf("put %s: %d bytes, at most %d", key, len(content), document.MaxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	history := p.values[key]
	next := value{version: 1, content: content, stored: time.Now()}
	if len(history) > 0 {
		next.version = history[len(history)-1].version + 1
	}
	history = append(history, next)
	p.values[key] = history[max(0, len(history)-historyLength):]
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// Publish stores the shards and then the root that names them. Shards that
// only older publications name are removed.
func (p *Platform) Publish(shards map[string][]byte, root []byte) error {
	for digest, content := range shards {
		if p.holds(document.ShardKeyPrefix + digest) {
			continue
		}
		if err := p.Put(document.ShardKeyPrefix+digest, content); err != nil {
			return err
		}
	}
	if err := p.Put(document.RootKey, root); err != nil {
		return err
	}
	p.retain(shards)
	return nil
}

// PublishDeployment renders a deployment and publishes it.
func (p *Platform) PublishDeployment(deployment document.Deployment, generation uint64) error {
	root, shards, err := render.Render(deployment, generation)
	if err != nil {
		return fmt.Errorf("publish generation %d: %w", generation, err)
	}
	content, err := json.Marshal(root)
	if err != nil {
		return fmt.Errorf("publish generation %d: %w", generation, err)
	}
	return p.Publish(shards, content)
}

// PublishVMs stores the VM list after a lag.
func (p *Platform) PublishVMs(list document.VMList, lag time.Duration) error {
	content, err := json.Marshal(list)
	if err != nil {
		return fmt.Errorf("publish VM list: %w", err)
	}
	if lag <= 0 {
		return p.Put(document.VMListKey, content)
	}
	time.AfterFunc(lag, func() { _ = p.Put(document.VMListKey, content) })
	return nil
}

func (p *Platform) holds(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.values[key]) > 0
}

func (p *Platform) retain(shards map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publications = append(p.publications, shards)
	if len(p.publications) <= publicationsKept {
		return
	}
	dropped := p.publications[0]
	p.publications = p.publications[1:]
	for digest := range dropped {
		if !p.named(digest) {
			delete(p.values, document.ShardKeyPrefix+digest)
		}
	}
}

func (p *Platform) named(digest string) bool {
	for _, publication := range p.publications {
		if _, ok := publication[digest]; ok {
			return true
		}
	}
	return false
}

// asOf returns the version of a value that stood at a time.
func (p *Platform) asOf(key string, at time.Time) (value, bool) {
	history := p.values[key]
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].stored.After(at) {
			return history[i], true
		}
	}
	return value{}, false
}
