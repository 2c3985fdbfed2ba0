// Package platform stands in for the service that holds the configuration.
//
// Values can be read and watched over HTTP and written only by the test or the
// operator that runs the stand-in.
package platform

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/primroseloom/primroseloom/config/document"
)

const versionHeader = "Primroseloom-Version"

type value struct {
	version uint64
	content []byte
}

// Platform holds values in memory.
type Platform struct {
	mu      sync.Mutex
	values  map[string]value
	changed chan struct{}
	calls   int64
}

// New returns a platform without values.
func New() *Platform {
	return &Platform{values: make(map[string]value), changed: make(chan struct{})}
}

// Put stores a value under the next version.
func (p *Platform) Put(key string, content []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = value{version: p.values[key].version + 1, content: content}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Publish stores the shards and then the root that names them.
func (p *Platform) Publish(shards map[string][]byte, root []byte) {
	for digest, content := range shards {
		p.Put(document.ShardKeyPrefix+digest, content)
	}
	p.Put(document.RootKey, root)
}

// Calls returns the number of calls so far; a waiting watch is one.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handler serves reads and watches.
func (p *Platform) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/v1/values/*key", func(c *gin.Context) { p.answer(c, p.get(c.Param("key")[1:])) })
	engine.GET("/v1/watch/*key", p.watch)
	return engine
}

func (p *Platform) get(key string) value {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return p.values[key]
}

func (p *Platform) answer(c *gin.Context, found value) {
	if found.version == 0 {
		c.Status(http.StatusNotFound)
		return
	}
	c.Header(versionHeader, strconv.FormatUint(found.version, 10))
	c.Data(http.StatusOK, "application/json", found.content)
}

func (p *Platform) watch(c *gin.Context) {
	known, _ := strconv.ParseUint(c.Query("version"), 10, 64)
	wait, _ := strconv.ParseInt(c.Query("wait_ms"), 10, 64)
	ctx, cancel := context.WithTimeout(c.Request.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	key := c.Param("key")[1:]
	found := p.get(key)
	for found.version == known && ctx.Err() == nil {
		p.mu.Lock()
		changed := p.changed
		found = p.values[key]
		p.mu.Unlock()
		if found.version != known {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	p.answer(c, found)
}
