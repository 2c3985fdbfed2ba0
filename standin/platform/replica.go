package platform

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

const (
	versionHeader = "Primroseloom-Version"
	// lagCheckInterval is how often a watch on a late replica looks again.
	lagCheckInterval = 50 * time.Millisecond
	// maxWait bounds a watch.
	maxWait = time.Minute
)

// Faults are what is wrong with a replica; the zero value is none.
type Faults struct {
	// Delay is added to each answer.
	Delay time.Duration
	// Lag shows each value that much later than it was stored.
	Lag time.Duration
	// Frozen shows the values as they stood when the fault was set.
	Frozen bool
	// Down closes each connection without an answer.
	Down bool
	// OneWay takes calls in and never answers.
	OneWay bool
}

// Replica is one server of the platform.
type Replica struct {
	platform *Platform
	mu       sync.Mutex
	faults   Faults
	frozenAt time.Time
}

// SetFaults replaces the faults of the replica.
func (r *Replica) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.frozenAt = time.Now()
}

func (r *Replica) present() (Faults, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	horizon := time.Now()
	if r.faults.Frozen {
		horizon = r.frozenAt
	}
	return r.faults, horizon.Add(-r.faults.Lag)
}

// Handler serves the reads and watches of the first replica.
func (p *Platform) Handler() http.Handler { return p.replicas[0].Handler() }

// Handler serves reads and watches; every other method is refused.
func (r *Replica) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.Use(r.admit)
	engine.GET("/v1/values/*key", r.read)
	engine.GET("/v1/watch/*key", r.watch)
	return engine
}

// admit counts a call and applies the faults that concern the whole call.
func (r *Replica) admit(c *gin.Context) {
	within := r.platform.countCall()
	faults, _ := r.present()
	switch {
	case faults.Down:
		panic(http.ErrAbortHandler)
	case faults.OneWay:
		<-c.Request.Context().Done()
		panic(http.ErrAbortHandler)
	case !within:
		c.AbortWithStatus(http.StatusTooManyRequests)
		return
	}
	if faults.Delay > 0 {
		sleep(c.Request.Context(), faults.Delay)
	}
}

func (r *Replica) read(c *gin.Context) {
	found, _, ok := r.look(keyOf(c))
	answer(c, found, ok)
}

// watch answers when the value has another version than the caller's, or when
// the wait has passed; then it answers 304 if nothing changed.
func (r *Replica) watch(c *gin.Context) {
	known, err := strconv.ParseUint(c.Query("version"), 10, 64)
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseUint(c.Query("wait_ms"), 10, 31)
	if err != nil {
		c.AbortWithStatus(http.StatusBadRequest)
		return
	}
	bound := min(time.Duration(wait)*time.Millisecond, maxWait)
	ctx, cancel := context.WithTimeout(c.Request.Context(), bound)
	defer cancel()
	for {
		found, changed, ok := r.look(keyOf(c))
		if ok && found.version != known {
			answer(c, found, true)
			return
		}
		if ctx.Err() != nil {
			unchanged(c, found, ok)
			return
		}
		r.await(ctx, changed)
	}
}

// await returns when a value changed, or may have become visible, or the wait
// has passed.
func (r *Replica) await(ctx context.Context, changed <-chan struct{}) {
	faults, _ := r.present()
	if faults.Lag > 0 {
		sleep(ctx, lagCheckInterval)
		return
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// look returns the value that the replica shows and a channel that closes with
// the next change.
func (r *Replica) look(key string) (value, <-chan struct{}, bool) {
	_, horizon := r.present()
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	found, ok := r.platform.asOf(key, horizon)
	return found, r.platform.changed, ok
}

func answer(c *gin.Context, found value, ok bool) {
	if !ok {
		c.Status(http.StatusNotFound)
		return
	}
	c.Header(versionHeader, strconv.FormatUint(found.version, 10))
	c.Data(http.StatusOK, "application/json", found.content)
}

func unchanged(c *gin.Context, found value, ok bool) {
	if !ok {
		c.Status(http.StatusNotFound)
		return
	}
	c.Header(versionHeader, strconv.FormatUint(found.version, 10))
	c.Status(http.StatusNotModified)
}

func keyOf(c *gin.Context) string { return strings.TrimPrefix(c.Param("key"), "/") }

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
