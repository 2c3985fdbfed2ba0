package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item or an event of the store, as PROTOCOL.md has it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store: linearizable, with one revision counter and its whole history.
type store struct {
	address string

	mu      sync.Mutex
	at      uint64
	items   map[string]item
	events  []item
	changed chan struct{}
}

func newStore() *store {
	s := &store{at: 100, items: make(map[string]item), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	listener := listen(loopback(200))
	s.address = listener.Addr().String()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(listener, handler) }()
	return s
}

// put writes a value as JSON; nil removes the key.
func (s *store) put(key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	event := item{Key: key, Revision: s.at, Tombstone: value == nil}
	if value != nil {
		content, err := json.Marshal(value)
		must(err)
		event.Value, event.Created = content, s.at
		if old, ok := s.items[key]; ok {
			event.Created = old.Created
		}
		s.items[key] = event
	} else {
		delete(s.items, key)
	}
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, found)
}

// list returns a page of at most 500 items.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, r.URL.Query().Get("path_prefix")) || key <= r.URL.Query().Get("after") {
			continue
		}
		if len(items) == 500 {
			more = true
			break
		}
		items = append(items, s.items[key])
	}
	reply(w, map[string]any{"items": items, "has_more": more, "at": s.at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, at, changed := []item{}, s.at, s.changed
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("path_prefix")) {
				events = append(events, event)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// loopback returns an address of the loopback network, with a free port.
func loopback(host int) string { return fmt.Sprintf("127.0.0.%d:0", host) }

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	must(err)
	return listener
}
