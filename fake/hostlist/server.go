// Package hostlist is a stand-in for the platform's list of hosts: Prometheus HTTP service-discovery JSON with a lag.
package hostlist

import (
	"encoding/json"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/backing/hostlist"
	"azuredyke.dev/azuredyke/common/latest"
)

// Server shows the newest list that is at least as old as the lag.
type Server struct {
	lag   time.Duration
	lists *latest.Value[[]version]
	// failure is published by the goroutine that publishes lists.
	failure *latest.Value[Failure]
}

// version is one published list.
type version struct {
	published time.Time
	groups    []hostlist.TargetGroup
}

// NewServer returns a server whose list is empty.
func NewServer(lag time.Duration) *Server {
	return &Server{lag: lag, lists: latest.New([]version(nil)), failure: latest.New(FailNone)}
}

// maxVersions bounds the kept lists.
const maxVersions = 1000

// Publish replaces the list; callers see it after the lag. One goroutine may publish.
func (s *Server) Publish(groups []hostlist.TargetGroup) {
	old := s.lists.Load()
	if len(old) >= maxVersions {
		old = old[len(old)-maxVersions/2:]
	}
	next := append(append([]version(nil), old...), version{published: time.Now(), groups: groups})
	s.lists.Publish(next)
}

// SetFailure lets every read fail, or none. The goroutine that publishes lists may call it.
func (s *Server) SetFailure(f Failure) { s.failure.Publish(f) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	shown := []hostlist.TargetGroup{}
	for _, v := range s.lists.Load() {
		if time.Since(v.published) >= s.lag {
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
	if failure == FailDamaged {
		data = data[:len(data)/2]
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
