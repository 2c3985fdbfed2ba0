package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
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

// store is the project's stand-in of the platform's store. It can discard its history.
type store struct {
	inner   *platform.StandInStore
	server  *http.Server
	address string

	mu sync.Mutex
	// revision is that of the latest write; each write here takes one.
	revision uint64
	// historyFrom is the first revision of which the history is known.
	historyFrom uint64
}

func newStore(address string) (*store, error) {
	s := &store{inner: platform.NewStandInStore(), address: address}
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

// ServeHTTP serves the calls. Only a watch says how long it waits.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("wait_ms") == "" {
		s.list(w, r)
		return
	}
	answer := httptest.NewRecorder()
	s.inner.ServeHTTP(answer, r)
	s.mu.Lock()
	historyFrom := s.historyFrom
	s.mu.Unlock()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if after < historyFrom {
		w.WriteHeader(http.StatusGone)
		return
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // fails only when the caller has left
}

// maxPageItems and maxPageBytes bound a page of a listing.
const maxPageItems, maxPageBytes = 500, 1_000_000

// list answers a listing in pages: the project's stand-in gives all on one.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	s.inner.ServeHTTP(answer, r)
	var all, page struct {
		Items []map[string]any `json:"items"`
		More  bool             `json:"has_more"`
		At    uint64           `json:"at"`
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &all); err != nil {
		panic(err) // the project's stand-in answers in JSON
	}
	page.At = all.At
	bytes := 0
	for _, item := range all.Items {
		key, _ := item["key"].(string)
		value, _ := item["value"].(string)
		if key <= r.URL.Query().Get("after") {
			continue
		}
		bytes += base64.StdEncoding.DecodedLen(len(value))
		if len(page.Items) == maxPageItems || len(page.Items) > 0 && bytes > maxPageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, item)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	_ = json.NewEncoder(w).Encode(page) // fails only when the caller has left
}
