// Package platform simulates the platform, which stores the configuration.
//
// Values can be read and watched over HTTP; only the test or the operator that
// runs the stand-in writes them. The platform consists of replicas that serve the
// same values. Each replica can be made slow, lagging, frozen, down or one-way.
// Every call is counted, a watch as one call, and calls above MaxCallsPerSecond
// are refused.
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
	// MaxCallsPerSecond is the number of calls per second above which the platform
	// refuses calls.
	MaxCallsPerSecond = 2000
	// maxVersions is the number of versions kept of each value.
	maxVersions = 64
	// maxPublications is the number of publications whose shards are kept.
	maxPublications = 16
)

// valueVersion is one version of the value of a key.
type valueVersion struct {
	version  uint64
	content  []byte
	storedAt time.Time
}

// Platform stores versioned values in memory.
type Platform struct {
	mu       sync.Mutex
	values   map[string][]valueVersion
	changed  chan struct{}
	replicas []*Replica
	// publications holds the shards of the last publications by digest, oldest first.
	publications []map[string][]byte
	calls        callCounter
}

// New returns a platform with one replica and no values.
func New() *Platform { return NewReplicated(1) }

// NewReplicated returns a platform with count replicas and no values.
func NewReplicated(count int) *Platform {
	platform := &Platform{values: make(map[string][]valueVersion), changed: make(chan struct{})}
	for range count {
		platform.replicas = append(platform.replicas, &Replica{platform: platform})
	}
	return platform
}

// Replica returns a replica by its index.
func (p *Platform) Replica(index int) *Replica { return p.replicas[index] }

// Put stores a value as the next version of its key.
func (p *Platform) Put(key string, content []byte) error {
	if len(content) > document.MaxValueBytes {
		return fmt.Errorf("put %s: %d bytes, at most %d", key, len(content), document.MaxValueBytes)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	history := p.values[key]
	next := valueVersion{version: 1, content: content, storedAt: time.Now()}
	if len(history) > 0 {
		next.version = history[len(history)-1].version + 1
	}
	history = append(history, next)
	p.values[key] = history[max(0, len(history)-maxVersions):]
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// Publish stores the shards and then the root that refers to them. It removes
// shards to which none of the last maxPublications publications refers.
func (p *Platform) Publish(shards map[string][]byte, root []byte) error {
	for digest, content := range shards {
		if p.isStored(document.ShardKeyPrefix + digest) {
			continue
		}
		if err := p.Put(document.ShardKeyPrefix+digest, content); err != nil {
			return err
		}
	}
	if err := p.Put(document.RootKey, root); err != nil {
		return err
	}
	p.retainPublication(shards)
	return nil
}

// PublishDeployment renders a deployment as the given generation and publishes it.
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

// PublishVMs stores the VM list, after the lag if there is one.
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

func (p *Platform) isStored(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.values[key]) > 0
}

// retainPublication records the shards of a new publication and removes those of
// the publication that is no longer kept, unless a kept one refers to them.
func (p *Platform) retainPublication(shards map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publications = append(p.publications, shards)
	if len(p.publications) <= maxPublications {
		return
	}
	oldest := p.publications[0]
	p.publications = p.publications[1:]
	for digest := range oldest {
		if !p.isRetained(digest) {
			delete(p.values, document.ShardKeyPrefix+digest)
		}
	}
}

// isRetained reports whether a kept publication refers to the shard.
func (p *Platform) isRetained(digest string) bool {
	for _, publication := range p.publications {
		if _, ok := publication[digest]; ok {
			return true
		}
	}
	return false
}

// versionAt returns the version of a value that was current at a time.
func (p *Platform) versionAt(key string, at time.Time) (valueVersion, bool) {
	history := p.values[key]
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].storedAt.After(at) {
			return history[i], true
		}
	}
	return valueVersion{}, false
}
