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
	// lagCheckInterval is how often a watch on a lagging replica checks for a change.
	lagCheckInterval = 50 * time.Millisecond
	// maxWatchTime limits how long a watch waits.
	maxWatchTime = time.Minute
)

// Faults are the faults injected into a replica; the zero value injects none.
type Faults struct {
	// Delay is added before each response.
	Delay time.Duration
	// Lag makes each value visible this long after it was stored.
	Lag time.Duration
	// Frozen serves the values as they were when the fault was set.
	Frozen bool
	// Down closes each connection without a response, also those of waiting watches.
	Down bool
	// OneWay accepts calls and never responds.
	OneWay bool
}

// Replica is one server of the platform.
type Replica struct {
	platform *Platform
	mu       sync.Mutex
	faults   Faults
	frozenAt time.Time
	// changed is closed when the faults change; nil until a watch waits.
	changed chan struct{}
}

// SetFaults replaces the faults of the replica.
func (r *Replica) SetFaults(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.frozenAt = time.Now()
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// faultsChanged returns a channel that is closed when the faults change.
func (r *Replica) faultsChanged() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// faultsAndHorizon returns the present faults and the time up to which stored
// values are visible.
func (r *Replica) faultsAndHorizon() (Faults, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	horizon := time.Now()
	if r.faults.Frozen {
		horizon = r.frozenAt
	}
	return r.faults, horizon.Add(-r.faults.Lag)
}

// Handler returns the handler of the first replica.
func (p *Platform) Handler() http.Handler { return p.replicas[0].Handler() }

// Handler returns a handler of reads and watches; it refuses every method but GET.
func (r *Replica) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.HandleMethodNotAllowed = true
	engine.Use(r.admit)
	engine.GET("/v1/values/*key", r.read)
	engine.GET("/v1/watch/*key", r.watch)
	return engine
}

// admit counts a call, refuses it above the limit, and applies the faults that
// concern calls rather than values.
func (r *Replica) admit(c *gin.Context) {
	withinLimit := r.platform.countCall()
	faults, _ := r.faultsAndHorizon()
	switch {
	case faults.Down:
		panic(http.ErrAbortHandler)
	case faults.OneWay:
		<-c.Request.Context().Done()
		panic(http.ErrAbortHandler)
	case !withinLimit:
		c.AbortWithStatus(http.StatusTooManyRequests)
		return
	}
	if faults.Delay > 0 {
		sleep(c.Request.Context(), faults.Delay)
	}
}

func (r *Replica) read(c *gin.Context) {
	found, _, ok := r.lookUp(keyOf(c))
	writeValue(c, found, ok)
}

// watch responds when the version of the value differs from the caller's, or with
// status 304 when the wait has passed without a change.
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
	timeout := min(time.Duration(wait)*time.Millisecond, maxWatchTime)
	ctx, cancel := context.WithTimeout(c.Request.Context(), timeout)
	defer cancel()
	for {
		faultsChanged := r.faultsChanged()
		if faults, _ := r.faultsAndHorizon(); faults.Down {
			panic(http.ErrAbortHandler)
		}
		found, changed, ok := r.lookUp(keyOf(c))
		if ok && found.version != known {
			writeValue(c, found, true)
			return
		}
		if ctx.Err() != nil {
			writeUnchanged(c, found, ok)
			return
		}
		r.awaitChange(ctx, changed, faultsChanged)
	}
}

// awaitChange returns when a value changed or may have become visible, when the faults
// changed, or when the context ends.
func (r *Replica) awaitChange(ctx context.Context, changed, faultsChanged <-chan struct{}) {
	faults, _ := r.faultsAndHorizon()
	if faults.Lag > 0 {
		sleep(ctx, lagCheckInterval)
		return
	}
	select {
	case <-changed:
	case <-faultsChanged:
	case <-ctx.Done():
	}
}

// lookUp returns the value that the replica serves and a channel that is closed
// at the next change.
func (r *Replica) lookUp(key string) (valueVersion, <-chan struct{}, bool) {
	_, horizon := r.faultsAndHorizon()
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	found, ok := r.platform.versionAt(key, horizon)
	return found, r.platform.changed, ok
}

func writeValue(c *gin.Context, found valueVersion, ok bool) {
	if !ok {
		c.Status(http.StatusNotFound)
		return
	}
	c.Header(versionHeader, strconv.FormatUint(found.version, 10))
	c.Data(http.StatusOK, "application/json", found.content)
}

func writeUnchanged(c *gin.Context, found valueVersion, ok bool) {
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
