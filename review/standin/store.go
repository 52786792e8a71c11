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

// store is a stand-in of the platform's store: it serves reads and watches.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	removed  map[string]item
	changed  chan struct{}
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"create_revision,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore(ip string) (*store, error) {
	s := &store{revision: 100, items: map[string]item{}, removed: map[string]item{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.GetItem, s.serveKey)
	mux.HandleFunc("GET "+wire.GetRange, s.serveRange)
	mux.HandleFunc("GET "+wire.GetWatch, s.serveWatch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) put(key string, value any) {
	data := mustJSON(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: data, Revision: s.revision, Created: created}
	delete(s.removed, key)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.removed[key] = item{Key: key, Revision: s.revision, Tombstone: true}
	s.notify()
}

// notify wakes the watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, found)
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []item{}
	for key, value := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, value)
		}
	}
	slices.SortFunc(entries, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	writeJSON(w, map[string]any{"entries": entries, "more_pages": false, "as_of": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "query", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events, revision, changed := s.since(query.Get("prefix"), after), s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || ended {
			writeJSON(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes after a revision. The caller holds the lock.
func (s *store) since(prefix string, after uint64) []item {
	events := []item{}
	for _, items := range []map[string]item{s.items, s.removed} {
		for key, value := range items {
			if strings.HasPrefix(key, prefix) && value.Revision > after {
				events = append(events, value)
			}
		}
	}
	slices.SortFunc(events, func(a, b item) int { return int(a.Revision) - int(b.Revision) })
	return events
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // A client that has left sees the error itself.
}
