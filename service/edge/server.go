package edge

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/verdict"
)

// revokeMargin is taken off the time in which a revoked key must stop, for a poll that hears nothing for a second although
// the store changes, and for the way to the endpoint.
const revokeMargin = 1200 * time.Millisecond

// Server serves callers' requests. Each runs in the goroutine of its caller.
type Server struct {
	log      *zap.Logger
	known    *latest.Value[*Knowledge]
	placer   placer
	sender   exchange.Sender
	mover    exchange.Mover
	streamOf func(io.Reader) exchange.Stream
	metrics  *serverMetrics
	// revoke is the bound of the settings in nanoseconds.
	revoke atomic.Int64
	// stopBy is when requests that still run are cut; nil while the node does not stop.
	stopBy atomic.Pointer[time.Time]
	active atomic.Int64
}

// Limits returns what callers may send by the configuration in force; all zero before the first one.
func (s *Server) Limits() catalog.CallerLimits {
	if c := s.known.Load().Fleet.Configuration; c != nil {
		return c.Limits
	}
	return catalog.CallerLimits{}
}

// Serve answers a request.
func (s *Server) Serve(ctx context.Context, r *exchange.Request, c exchange.Caller) {
	s.active.Add(1)
	defer s.active.Add(-1)
	one := &session{server: s, request: r, caller: c}
	one.serve(ctx)
}

// Reject refuses a request that could not be read.
func (s *Server) Reject(r *exchange.Request, c exchange.Caller, err *verdict.Error) {
	one := &session{server: s, request: r, caller: c, known: s.known.Load()}
	one.refuse(err)
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// knowledgeAge returns how long ago the node last knew that it was up to date.
func (s *Server) knowledgeAge() time.Duration { return bootclock.Now().Sub(s.known.Load().Confirmed) }
