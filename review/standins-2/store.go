package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// store is the project's stand-in of the platform's store. It can cut the watches that wait, and discard
// its history.
type store struct {
	inner   *platform.StandInStore
	server  *http.Server
	address string

	mu sync.Mutex
	// revision is that of the latest write; each write here takes one.
	revision uint64
	// historyFrom is the first revision of which the history is known.
	historyFrom uint64
	// cut is closed and replaced when the waiting watches are cut; waiting is their number.
	cut     chan struct{}
	waiting int
}

func newStore(address string) (*store, error) {
	s := &store{inner: platform.NewStandInStore(), cut: make(chan struct{}), address: address}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// write does one write and returns the time of its confirmation.
func (s *store) write(change func()) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.revision++
	return time.Now()
}

func (s *store) publish(routes routing.Document) time.Time {
	return s.write(func() { s.inner.PublishRoutes(routes) })
}

func (s *store) put(target roster.Target) { s.write(func() { s.inner.PublishTarget(target) }) }

func (s *store) remove(id string) time.Time { return s.write(func() { s.inner.RemoveTarget(id) }) }

// publishAndDiscard writes routes and discards the history up to and with them, so that a watch from an
// earlier revision is answered 410.
func (s *store) publishAndDiscard(routes routing.Document) time.Time {
	return s.write(func() {
		s.inner.PublishRoutes(routes)
		s.historyFrom = s.revision + 1
	})
}

// sizes returns the sizes of the published routes and of all entries of targets together, in bytes.
func (s *store) sizes() (routes, targets int, err error) {
	listing, err := platform.NewStore(s.address, (&net.Dialer{}).DialContext).List(context.Background())
	for _, item := range listing.Items {
		entry, decodeErr := platform.Decoder{}.Decode(item, 0)
		if decodeErr == nil && entry.Routes != nil {
			routes += len(item.Value)
			continue
		}
		targets += len(item.Value)
	}
	return routes, targets, err
}

// cutWatches closes the connections of the watches that wait, and returns their number.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	return s.waiting
}

// ServeHTTP serves the calls. Only a watch says how long it waits.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("wait_ms") == "" {
		s.inner.ServeHTTP(w, r)
		return
	}
	s.mu.Lock()
	cut := s.cut
	s.waiting++
	s.mu.Unlock()
	answer, isCut := s.watch(r, cut)
	s.mu.Lock()
	s.waiting--
	historyFrom := s.historyFrom
	s.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	switch {
	case isCut:
		panic(http.ErrAbortHandler)
	case after < historyFrom:
		w.WriteHeader(http.StatusGone)
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // fails only when the caller has left
}

// watch waits for the answer of a watch, or until it is cut.
func (s *store) watch(r *http.Request, cut <-chan struct{}) (answer *httptest.ResponseRecorder, isCut bool) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answer = httptest.NewRecorder()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.inner.ServeHTTP(answer, r.WithContext(ctx))
	}()
	select {
	case <-answered:
		return answer, false
	case <-cut:
		return nil, true
	}
}
