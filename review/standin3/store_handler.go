package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// maxPage is the largest number of items in one page.
const maxPage = 500

// transaction is the body of a transaction call.
type transaction struct {
	Conditions []item   `json:"expectedRevision"`
	Writes     []item   `json:"writes"`
	Remove     []string `json:"remove"`
}

// leaseBody is the body of a lease call and of its reply.
type leaseBody struct {
	LeaseID int64 `json:"leaseId,omitempty"`
	TTLMs   int64 `json:"ttlMs"`
}

// handler returns the HTTP handler of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.serveKey)
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	mux.HandleFunc("POST /kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /kv-lease", s.serveLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.serveRenewal)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.serveLeaseEnd)
	return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, in)
	})
}

func (s *store) serveKey(w http.ResponseWriter, in *http.Request) {
	s.mu.Lock()
	i, ok := s.items[in.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (s *store) serveRange(w http.ResponseWriter, in *http.Request) {
	query := in.URL.Query()
	s.mu.Lock()
	entries, at := s.list(query.Get("pathPrefix"), query.Get("after")), s.revision
	s.mu.Unlock()
	hasMore := len(entries) > maxPage
	writeJSON(w, http.StatusOK, map[string]any{"entries": entries[:min(maxPage, len(entries))], "hasMore": hasMore, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, in *http.Request) {
	query := in.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events, ok := s.since(query.Get("pathPrefix"), after)
		at, changed, away := s.revision, s.changed, s.away
		s.mu.Unlock()
		switch {
		case away:
			// A watch that waits is cut when the store goes away.
			panic(http.ErrAbortHandler)
		case !ok:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || !waiting:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-in.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, in *http.Request) {
	var t transaction
	if json.NewDecoder(in.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	late := s.isLate != nil && s.isLate(t)
	s.mu.Unlock()
	if late {
		s.record.writef("store: transaction of %s gets no answer and is executed %v later", t.Writes[0].Key, s.lateBy)
		time.AfterFunc(s.lateBy, func() {
			status, revision := s.commit(t)
			s.record.writef("store: late transaction of %s under lease %d: status %d, revision %d", t.Writes[0].Key, t.Writes[0].LeaseID, status, revision)
		})
		// The connection returns nothing further.
		<-in.Context().Done()
		return
	}
	status, revision := s.commit(t)
	if len(t.Writes) > 0 {
		s.record.writef("store: transaction of %s under lease %d: status %d, revision %d", t.Writes[0].Key, t.Writes[0].LeaseID, status, revision)
	}
	writeJSON(w, status, map[string]any{"revision": revision, "entries": []item{}})
}

// commit executes a transaction and returns the status of its answer.
func (s *store) commit(t transaction) (status int, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return http.StatusPreconditionFailed, s.revision
		}
	}
	for _, i := range t.Writes {
		if _, ok := s.leases[i.LeaseID]; i.LeaseID != 0 && !ok {
			return http.StatusNotFound, s.revision
		}
	}
	for _, i := range t.Writes {
		s.write(item{Key: i.Key, Value: i.Value, LeaseID: i.LeaseID})
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return http.StatusOK, s.revision
}

func (s *store) serveLease(w http.ResponseWriter, in *http.Request) {
	var body leaseBody
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	body.LeaseID = s.lastLease
	s.leases[body.LeaseID] = lease{ttl: ttl, end: time.Now().Add(ttl)}
	s.mu.Unlock()
	s.record.writef("store: grants lease %d for %v", body.LeaseID, ttl)
	writeJSON(w, http.StatusOK, body)
}

func (s *store) serveRenewal(w http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseInt(in.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	s.record.writef("store: renewal of lease %d, known: %t", id, ok)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, leaseBody{TTLMs: l.ttl.Milliseconds()})
}

func (s *store) serveLeaseEnd(w http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseInt(in.PathValue("id"), 10, 64)
	s.mu.Lock()
	s.endLease(id)
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
