package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"

	"github.com/gin-gonic/gin"
)

// Group is a set of targets in one process, controlled over HTTP.
type Group struct {
	mu      sync.Mutex
	targets map[string]*Target
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	return &Group{targets: make(map[string]*Target)}
}

// Start runs a target on an "IP:port" address until the context ends.
func (g *Group) Start(ctx context.Context, options Options, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("start target %s on %s: %w", options.Name, address, err)
	}
	target := New(options)
	g.mu.Lock()
	g.targets[options.Name] = target
	g.mu.Unlock()
	go func() { _ = target.Serve(ctx, listener) }()
	return nil
}

// Handler serves the control paths: GET and PUT /faults, POST /drain, POST
// /silence and GET /runs, each with the query parameter "target".
func (g *Group) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	engine := gin.New()
	engine.GET("/faults", g.withTarget(func(c *gin.Context, t *Target) { c.JSON(http.StatusOK, t.activeFaults()) }))
	engine.PUT("/faults", g.withTarget(putFaults))
	engine.POST("/drain", g.withTarget(func(c *gin.Context, t *Target) {
		t.Drain()
		c.Status(http.StatusNoContent)
	}))
	engine.POST("/silence", g.withTarget(func(c *gin.Context, t *Target) {
		t.StallConnections()
		c.Status(http.StatusNoContent)
	}))
	engine.GET("/runs", g.withTarget(func(c *gin.Context, t *Target) { c.JSON(http.StatusOK, t.Runs()) }))
	return engine
}

func (g *Group) withTarget(handle func(*gin.Context, *Target)) gin.HandlerFunc {
	return func(c *gin.Context) {
		g.mu.Lock()
		target, ok := g.targets[c.Query("target")]
		g.mu.Unlock()
		if !ok {
			c.JSON(http.StatusNotFound, gin.H{"error": fmt.Sprintf("no target %q", c.Query("target"))})
			return
		}
		handle(c, target)
	}
}

func putFaults(c *gin.Context, t *Target) {
	var faults Faults
	decoder := json.NewDecoder(c.Request.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&faults)
	if err == nil {
		err = faults.Validate()
	}
	if err != nil {
		c.JSON(http.StatusBadRequest, gin.H{"error": err.Error()})
		return
	}
	t.SetFaults(faults)
	c.Status(http.StatusNoContent)
}
