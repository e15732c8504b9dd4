// Package hostlist is a fake of the platform's list of hosts for tests. It serves Prometheus HTTP service-discovery
// JSON with a lag.
package hostlist

import (
	"encoding/json"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/backing/hostlist"
	"azuredyke.dev/azuredyke/common/latest"
)

// Server serves the newest list that was published at least lag ago, or an empty list.
type Server struct {
	lag   time.Duration
	lists *latest.Value[[]publishedList]
	// failure is set by the goroutine that publishes lists.
	failure *latest.Value[Failure]
}

// publishedList is one published list.
type publishedList struct {
	publishedAt time.Time
	groups      []hostlist.TargetGroup
}

// NewServer returns a server that serves an empty list.
func NewServer(lag time.Duration) *Server {
	return &Server{lag: lag, lists: latest.New([]publishedList(nil)), failure: latest.New(FailNone)}
}

// maxPublishedLists bounds the retained lists.
const maxPublishedLists = 1000

// Publish replaces the list. The new list is served after the lag. Publish and SetFailure must be called from one
// goroutine.
func (s *Server) Publish(groups []hostlist.TargetGroup) {
	old := s.lists.Load()
	if len(old) >= maxPublishedLists {
		old = old[len(old)-maxPublishedLists/2:]
	}
	next := append(append([]publishedList(nil), old...), publishedList{publishedAt: time.Now(), groups: groups})
	s.lists.Publish(next)
}

// SetFailure sets the failure of all further reads. It must be called from the goroutine that calls Publish.
func (s *Server) SetFailure(f Failure) { s.failure.Publish(f) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	shown := []hostlist.TargetGroup{}
	for _, v := range s.lists.Load() {
		if time.Since(v.publishedAt) >= s.lag {
			shown = v.groups
		}
	}
	failure := s.failure.Load()
	if failure == FailEmpty {
		shown = []hostlist.TargetGroup{}
	}
	data, err := json.Marshal(shown)
	if err != nil || failure == FailStatus {
		http.Error(w, "the list is not available", http.StatusServiceUnavailable)
		return
	}
	if failure == FailTruncated {
		data = data[:len(data)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
