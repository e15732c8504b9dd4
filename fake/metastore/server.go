package metastore

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"azuredyke.dev/azuredyke/backing"
)

// Server serves the metadata store's API from a key-value service.
type Server struct {
	kv backing.KV
	// unavailable is set while every call is answered with 503.
	unavailable atomic.Bool
	// loseAnswers is set while writes are applied without being answered.
	loseAnswers atomic.Bool
	// delay is the delay of each answer in nanoseconds.
	delay atomic.Int64
	// compactedRevision is the revision up to which the history is not available.
	compactedRevision atomic.Int64
	calls             atomic.Int64
	// era is the number of times that the content was replaced by an older copy, plus one.
	era atomic.Int64
}

// New returns a server over a key-value service. Tests may also write to the service directly, as operators and
// endpoints do.
func New(kv backing.KV) *Server {
	s := &Server{kv: kv}
	s.era.Store(1)
	return s
}

// SetUnavailable sets whether the server answers every call with 503.
func (s *Server) SetUnavailable(on bool) { s.unavailable.Store(on) }

// SetLoseAnswers sets whether the server applies writes and then closes the connection instead of answering.
func (s *Server) SetLoseAnswers(on bool) { s.loseAnswers.Store(on) }

// SetDelay sets the delay of each answer.
func (s *Server) SetDelay(d time.Duration) { s.delay.Store(int64(d)) }

// Compact makes the history up to a revision unavailable. A watch that starts before the revision is answered with 410,
// after which the caller must read all entries again.
func (s *Server) Compact(revision int64) { s.compactedRevision.Store(revision) }

// RaiseEra records that the content was replaced by an older copy. Replies to calls that began before bear the era before.
func (s *Server) RaiseEra() { s.era.Add(1) }

// Calls returns the number of calls received.
func (s *Server) Calls() int64 { return s.calls.Load() }

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/kv-range", s.rangeKeys).Methods(http.MethodGet)
	r.HandleFunc("/kv-watch", s.watch).Methods(http.MethodGet)
	r.HandleFunc("/kv-txn", s.txn).Methods(http.MethodPost)
	r.HandleFunc("/kv-lease", s.grantLease).Methods(http.MethodPost)
	r.HandleFunc("/kv-keep/{id}", s.renewLease).Methods(http.MethodPost)
	r.Use(func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
			s.calls.Add(1)
			w.Header().Set("Store-Era", strconv.FormatInt(s.era.Load(), 10))
			time.Sleep(time.Duration(s.delay.Load()))
			if s.unavailable.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			next.ServeHTTP(w, in)
			if s.loseAnswers.Load() && in.Method == http.MethodPost {
				panic(http.ErrAbortHandler)
			}
		})
	})
	return r
}

// item is the JSON of one entry.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newItem(e backing.Entry, deleted bool) item {
	return item{e.Key, e.Value, e.ModRevision, e.CreateRevision, int64(e.Lease), deleted}
}

func (s *Server) rangeKeys(w http.ResponseWriter, in *http.Request) {
	result, err := s.kv.Range(in.Context(), in.URL.Query().Get("pathPrefix"))
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	entries := []item{}
	for _, e := range result.Entries {
		entries = append(entries, newItem(e, false))
	}
	writeJSON(w, map[string]any{"entries": entries, "hasMore": false, "at": result.Revision})
}

func (s *Server) watch(w http.ResponseWriter, in *http.Request) {
	query := in.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	present, err := s.kv.Range(in.Context(), "op/config")
	if err != nil || after < s.compactedRevision.Load() || after > present.Revision {
		w.WriteHeader(http.StatusGone)
		return
	}
	ctx, cancel := context.WithTimeout(in.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	batches, err := s.kv.Watch(ctx, query.Get("pathPrefix"), after+1)
	if err != nil {
		w.WriteHeader(http.StatusGone)
		return
	}
	events, at := []item{}, after
	for batch := range batches {
		if backing.ErrCompacted.Has(batch.Err) {
			w.WriteHeader(http.StatusGone)
			return
		}
		at = max(at, batch.Revision)
		for _, e := range batch.Events {
			events = append(events, newItem(e.Entry, e.Deleted))
		}
		if len(events) > 0 {
			break
		}
	}
	writeJSON(w, map[string]any{"events": events, "at": at})
}

func (s *Server) txn(w http.ResponseWriter, in *http.Request) {
	var body struct {
		Conditions []item   `json:"expectedRevision"`
		Writes     []item   `json:"writes"`
		Remove     []string `json:"remove"`
	}
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var txn backing.Txn
	for _, c := range body.Conditions {
		txn.Conditions = append(txn.Conditions, backing.Condition{Key: c.Key, ModRevision: c.Revision})
	}
	for _, write := range body.Writes {
		txn.Writes = append(txn.Writes, backing.Write{
			Key: write.Key, Value: write.Value, Lease: backing.LeaseID(write.LeaseID),
		})
	}
	for _, key := range body.Remove {
		txn.Writes = append(txn.Writes, backing.Write{Key: key, Delete: true})
	}
	result, err := s.kv.Commit(in.Context(), txn)
	switch {
	case backing.ErrLeaseNotFound.Has(err):
		w.WriteHeader(http.StatusNotFound)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	case !result.Committed:
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"entries": []item{}})
	default:
		writeJSON(w, map[string]any{"revision": result.Revision})
	}
}

func (s *Server) grantLease(w http.ResponseWriter, in *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(in.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.kv.GrantLease(in.Context(), time.Duration(body.TTLMs)*time.Millisecond)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, map[string]any{"leaseId": id, "ttlMs": body.TTLMs})
}

func (s *Server) renewLease(w http.ResponseWriter, in *http.Request) {
	id, _ := strconv.ParseInt(mux.Vars(in)["id"], 10, 64)
	if s.kv.RenewLease(in.Context(), backing.LeaseID(id)) != nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"ttlMs": 0})
}

// writeJSON writes a JSON body. Errors are ignored, since a closed connection needs no handling here.
func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
