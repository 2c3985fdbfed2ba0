package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the number of items on one page of a listing.
const maxPageItems = 500

// maxPageBytes is the size of the values on one page, unless it has only one.
const maxPageBytes = 1_000_000

// item is one item or event of the store.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store stands in for the platform's metadata store.
type store struct {
	server  *http.Server
	address string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
	// cut is closed and replaced when the waiting watches are cut.
	cut chan struct{}
	// historyFrom is the first revision of which the history is known.
	historyFrom uint64
	// waiting is the number of watches that wait.
	waiting int
}

func newStore(address string) (*store, error) {
	s := &store{items: make(map[string]item), revision: 100, changed: make(chan struct{}), cut: make(chan struct{}), address: address}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a value as JSON and returns the time of the confirmation.
func (s *store) put(key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // every value of a case can be encoded
	}
	return s.write(item{Key: key, Value: content})
}

// remove removes a key and returns the time of the confirmation.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Tombstone: true}) }

// putAndDiscard writes a value and discards the history up to and with it, so that a watch from an earlier
// revision is answered 410.
func (s *store) putAndDiscard(key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // every value of a case can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.writeLocked(item{Key: key, Value: content})
	s.events, s.historyFrom = nil, s.revision
	return at
}

func (s *store) write(one item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(one)
}

func (s *store) writeLocked(one item) time.Time {
	s.revision++
	one.Revision, one.Created = s.revision, s.revision
	if old, ok := s.items[one.Key]; ok {
		one.Created = old.Created
	}
	s.items[one.Key] = one
	if one.Tombstone {
		delete(s.items, one.Key)
	}
	s.events = append(s.events, one)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// cutWatches closes the connections of the watches that wait, and returns their number.
func (s *store) cutWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
	return s.waiting
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	one, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		At uint64 `json:"at"`
	}{one, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix, after := query.Get("path_prefix"), query.Get("after")
	page := struct {
		Items []item `json:"items"`
		More  bool   `json:"has_more"`
		At    uint64 `json:"at"`
	}{Items: []item{}}
	s.mu.Lock()
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, one)
		}
	}
	page.At = s.revision
	s.mu.Unlock()
	slices.SortFunc(page.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > maxPageItems {
		page.Items, page.More = page.Items[:maxPageItems], true
	}
	for i, bytes := 0, 0; i < len(page.Items); i++ {
		if bytes += len(page.Items[i].Value); bytes > maxPageBytes && i > 0 {
			page.Items, page.More = page.Items[:i], true
		}
	}
	answer(w, page)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(ms, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		page := struct {
			Events []item `json:"events"`
			At     uint64 `json:"at"`
		}{Events: []item{}}
		s.mu.Lock()
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("path_prefix")) {
				page.Events = append(page.Events, event)
			}
		}
		page.At = s.revision
		isGone := after < s.historyFrom
		changed, cut := s.changed, s.cut
		if len(page.Events) == 0 && !isGone {
			s.waiting++
		}
		s.mu.Unlock()
		if isGone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(page.Events) > 0 {
			answer(w, page)
			return
		}
		isCut, isOver := false, false
		select {
		case <-changed:
		case <-cut:
			isCut = true
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
		if isCut {
			panic(http.ErrAbortHandler)
		}
		if isOver {
			answer(w, page)
			return
		}
	}
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only when the caller has left
}
