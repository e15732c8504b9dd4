package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Page limits of the store's lists.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// item is one key of the store, or its deletion.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]time.Duration
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, leases: map[int64]time.Duration{}, changed: make(chan struct{})}
}

// put writes a key as JSON and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
	return time.Now()
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.delete(key)
	return time.Now()
}

func (s *store) write(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, LeaseID: lease}
	s.items[key] = i
	s.publish(i)
}

func (s *store) delete(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.publish(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) publish(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.serveKey)
	m.HandleFunc("GET /kv-range", s.serveRange)
	m.HandleFunc("GET /kv-watch", s.serveWatch)
	m.HandleFunc("POST /kv-txn", s.serveTxn)
	m.HandleFunc("POST /kv-lease", s.serveLease)
	m.HandleFunc("POST /kv-keep/{id}", s.serveKeep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	return m
}

func (s *store) serveKey(w http.ResponseWriter, in *http.Request) {
	s.mu.Lock()
	i, ok := s.items[in.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{i, at})
}

func (s *store) serveRange(w http.ResponseWriter, in *http.Request) {
	prefix, after := in.URL.Query().Get("pathPrefix"), in.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	entries, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(entries) == maxPageItems || size > maxPageBytes {
			more = true
			break
		}
		entries = append(entries, s.items[key])
		size += len(s.items[key].Value)
	}
	at := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, in *http.Request) {
	query := in.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("pathPrefix")) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-in.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, in *http.Request) {
	var body struct {
		Conditions []item   `json:"expectedRevision"`
		Writes     []item   `json:"writes"`
		Remove     []string `json:"remove"`
	}
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []item{}, true
	for _, c := range body.Conditions {
		now := s.items[c.Key]
		now.Key = c.Key
		current, met = append(current, now), met && now.Revision == c.Revision
	}
	if !met {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"entries": current})
		return
	}
	for _, i := range body.Writes {
		if _, ok := s.leases[i.LeaseID]; i.LeaseID != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, i := range body.Writes {
		s.write(i.Key, i.Value, i.LeaseID)
	}
	for _, key := range body.Remove {
		s.delete(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// serveLease grants a lease. Cases are shorter than the leases of the nodes, so leases don't end.
func (s *store) serveLease(w http.ResponseWriter, in *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := int64(77000 + len(s.leases))
	s.leases[id] = time.Duration(body.TTLMs) * time.Millisecond
	writeJSON(w, http.StatusOK, map[string]any{"leaseId": id, "ttlMs": body.TTLMs})
}

func (s *store) serveKeep(w http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseInt(in.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"ttlMs": ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseInt(in.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.LeaseID == id {
			s.delete(key)
		}
	}
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
