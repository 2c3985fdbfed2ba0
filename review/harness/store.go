package main

import (
	"context"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/primroseloom/primroseloom/config/routing"
	"github.com/primroseloom/primroseloom/platform"
	"github.com/primroseloom/primroseloom/policy/roster"
)

// store is the project's stand-in of the platform's store, which can also cut waiting watches and
// give some machines no response.
type store struct {
	address  string
	listener net.Listener
	content  *platform.StandInStore

	mu sync.Mutex
	// silentTo holds the machines, by IP address, that get no response. watchedAt is when a
	// machine last began a watch, waiting are the connections of the watches in progress.
	silentTo  map[string]bool
	watchedAt map[string]time.Time
	waiting   map[net.Conn]int
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func newStore(address string) (*store, error) {
	s := &store{
		address: address, content: platform.NewStandInStore(),
		silentTo: make(map[string]bool), watchedAt: make(map[string]time.Time), waiting: make(map[net.Conn]int),
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	server := &http.Server{Handler: s, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// publishRoutes publishes a configuration and returns when the store has acknowledged it.
func (s *store) publishRoutes(document routing.Document) time.Time {
	s.content.PublishRoutes(document)
	return time.Now()
}

// publishTarget publishes the entry of an upstream.
func (s *store) publishTarget(target roster.Target) { s.content.PublishTarget(target) }

// removeTarget removes the entry of an upstream and returns when the store has acknowledged it.
func (s *store) removeTarget(id string) time.Time {
	s.content.RemoveTarget(id)
	return time.Now()
}

// ServeHTTP serves the calls of machines that the store is not silent to.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isSilentTo(r) {
		<-r.Context().Done()
		return
	}
	if r.URL.Query().Has("wait_ms") {
		defer s.watchBegins(r)()
	}
	s.content.ServeHTTP(silentWriter{w, r, s}, r)
}

// watchBegins records a watch until the returned function is called.
func (s *store) watchBegins(r *http.Request) (end func()) {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchedAt[ipOf(r.RemoteAddr)] = time.Now()
	s.waiting[conn]++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.waiting[conn]--; s.waiting[conn] <= 0 {
			delete(s.waiting, conn)
		}
	}
}

// silentWriter holds back the response to a call during which the store has become silent.
type silentWriter struct {
	http.ResponseWriter
	r *http.Request
	s *store
}

// Write writes a part of the response.
func (w silentWriter) Write(p []byte) (int, error) {
	if w.s.isSilentTo(w.r) {
		<-w.r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}

func (s *store) isSilentTo(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentTo[ipOf(r.RemoteAddr)]
}

// setSilent begins or ends the time in which the store gives some machines no response.
func (s *store) setSilent(ips []string, isSilent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ip := range ips {
		s.silentTo[ip] = isSilent
	}
}

// watchers returns the machines that have begun a watch within a time.
func (s *store) watchers(within time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ips []string
	for ip, at := range s.watchedAt {
		if time.Since(at) < within {
			ips = append(ips, ip)
		}
	}
	sort.Strings(ips)
	return ips
}
