// Package supervisor runs the daemon's children and restarts those that fail.
//
// Each child is named after its directory under entry, so that a log line leads
// to the code. A child that returns an error or panics is restarted after a
// back-off; the others continue.
package supervisor

import (
	"context"
	"fmt"

	"github.com/charmbracelet/log"
	"github.com/thejerf/suture/v4"

	"github.com/primroseloom/primroseloom/entry/events"
)

// Child is one branch of the supervisor tree.
type Child interface {
	// Run works until the context ends; any other return is a failure.
	Run(ctx context.Context) error
}

// Tree supervises a set of children.
type Tree struct {
	supervisor *suture.Supervisor
}

// New returns an empty tree that logs restarts.
func New(name string, logger *log.Logger) *Tree {
	hook := func(event suture.Event) {
		if event.Type() == suture.EventTypeStopTimeout || event.Type() == suture.EventTypeResume {
			return
		}
		fields := event.Map()
		events.ChildRestarted.Log(logger, "child", fields["service_name"], "cause", event.String())
	}
	return &Tree{supervisor: suture.New(name, suture.Spec{EventHook: hook})}
}

// Add puts a child under supervision.
func (t *Tree) Add(name string, child Child) {
	t.supervisor.Add(&service{name: name, child: child})
}

// Run runs the children until the context ends and all have returned.
func (t *Tree) Run(ctx context.Context) error {
	return t.supervisor.Serve(ctx)
}

// Start runs the children in the background. The returned function stops them
// and waits until all have returned.
func (t *Tree) Start(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = t.Run(ctx) // always ends with the error of the context, which stop cancels
	}()
	return func() {
		cancel()
		<-done
	}
}

// service adapts a child to the supervision library.
type service struct {
	name  string
	child Child
}

// Serve runs the child.
func (s *service) Serve(ctx context.Context) error {
	err := s.child.Run(ctx)
	if ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	return fmt.Errorf("child %s: %w", s.name, err)
}

// String returns the child's name for the library's reports.
func (s *service) String() string { return s.name }
