package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one entry of the store as the platform's page describes it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's metadata store: it answers reads and watches, and
// keeps all of its history.
type store struct {
	address  string
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// changed is closed and replaced at each write; cut is closed and replaced when all
	// waiting watches are cut.
	changed, cut chan struct{}
	// silentTo holds the machines, by IP address, that get no response. watchedAt is when a
	// machine last began a watch.
	silentTo  map[string]bool
	watchedAt map[string]time.Time
}

func newStore(address string) (*store, error) {
	s := &store{address: address, revision: 100, items: make(map[string]item), changed: make(chan struct{}), cut: make(chan struct{}),
		silentTo: make(map[string]bool), watchedAt: make(map[string]time.Time)}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go func() { _ = http.Serve(listener, s.onlyTo(mux)) }()
	return s, nil
}

// put writes a value and returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: content})
}

// remove removes a key.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Tombstone: true}) }

func (s *store) write(one item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	one.Revision, one.Created = s.revision, s.revision
	if old, ok := s.items[one.Key]; ok {
		one.Created = old.Created
	}
	if one.Tombstone {
		delete(s.items, one.Key)
		one.Created = 0
	} else {
		s.items[one.Key] = one
	}
	s.events = append(s.events, one)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// onlyTo leaves calls of machines that the store is silent to without a response.
func (s *store) onlyTo(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilentTo(r) {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
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

// cutWatches ends the connections of all waiting watches, as the platform's page allows.
func (s *store) cutWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.cut)
	s.cut = make(chan struct{})
}

func answer(w http.ResponseWriter, body any) {
	content, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_, _ = w.Write(content)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	one, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	answer(w, struct {
		item
		At uint64 `json:"at"`
	}{one, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, one := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, one)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	const pageItems = 500
	more := len(found) > pageItems
	if more {
		found = found[:pageItems]
	}
	answer(w, map[string]any{"items": found, "has_more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	s.watchedAt[ipOf(r.RemoteAddr)] = time.Now()
	s.mu.Unlock()
	for {
		s.mu.Lock()
		found := []item{}
		for _, one := range s.events {
			if one.Revision > after && strings.HasPrefix(one.Key, query.Get("path_prefix")) {
				found = append(found, one)
			}
		}
		at, changed, cut := s.revision, s.changed, s.cut
		s.mu.Unlock()
		if s.isSilentTo(r) {
			<-r.Context().Done()
			return
		}
		if len(found) > 0 {
			answer(w, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, map[string]any{"events": found, "at": at})
			return
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
