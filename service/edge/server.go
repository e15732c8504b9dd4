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
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/service/ratelimit"
	"azuredyke.dev/azuredyke/service/rollout"
)

// revokeMargin is subtracted from the time within which a revoked key must stop working. It covers a poll that gets no
// reply for a second although the store has changed, and the way of a request to its endpoint.
const revokeMargin = 1200 * time.Millisecond

// Server serves callers' requests, each in the goroutine of its caller.
type Server struct {
	log       *zap.Logger
	cluster   *latest.Value[*clusterState]
	placer    placer
	sender    exchange.Sender
	mover     exchange.Mover
	liveness  exchange.Liveness
	newStream func(io.Reader) exchange.Stream
	metrics   *serverMetrics
	// quarantine prevents requests that crash endpoints from running again.
	quarantine *quarantine.Manager
	// rates keeps the requests to endpoints within the limits that these have stated.
	rates *ratelimit.Manager
	// rollouts counts the outcomes under roll-outs; nil unless the feature is on.
	rollouts rollout.Outcomes
	// revokeAfter is the setting bounds.revoke in nanoseconds.
	revokeAfter atomic.Int64
	// orderedAdmission is the setting features.ordered_admission.
	orderedAdmission atomic.Bool
	// graceEnd is the end of the time that a stopping node gives its requests.
	graceEnd *graceEnd
	// buffers shares the memory of the callers' buffers; nil if events are written without a buffer.
	buffers *bufferKeeper
	active  atomic.Int64
}

// Limits returns the limits on callers' requests in the configuration in force; all zero before the first configuration.
func (s *Server) Limits() catalog.CallerLimits {
	if c := s.cluster.Load().Fleet.Configuration; c != nil {
		return c.Limits
	}
	return catalog.CallerLimits{}
}

// Serve answers a request.
func (s *Server) Serve(ctx context.Context, r *exchange.Request, c exchange.Caller) {
	s.active.Add(1)
	defer s.active.Add(-1)
	current := &session{server: s, request: r, caller: c}
	current.serve(ctx)
}

// Reject refuses a request that could not be read, with the error err.
func (s *Server) Reject(r *exchange.Request, c exchange.Caller, err *verdict.Error) {
	current := &session{server: s, request: r, caller: c, cluster: s.cluster.Load()}
	current.refuse(err)
}

// withGraceEnd returns a context that is cancelled with the cause errGraceEnded when a stopping node ends its remaining requests.
func (s *Server) withGraceEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(s.graceEnd.ctx, func() { cancel(errGraceEnded) })
	return ctx, func() {
		unregister()
		cancel(nil)
	}
}

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// stateAge returns the time since the cluster state was last confirmed to be current.
func (s *Server) stateAge() time.Duration { return bootclock.Now().Sub(s.cluster.Load().ConfirmedAt) }
