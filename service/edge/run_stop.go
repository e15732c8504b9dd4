package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/pause"
	"azuredyke.dev/azuredyke/decision/fleet"
)

const (
	// closeNoticeTime is the time that an endpoint gets to notice that the connection of a run was closed. Most endpoints stop the
	// run then, which spares them a copy of its memory.
	closeNoticeTime = 50 * time.Millisecond
	// runStopTimeout bounds one call. The endpoint stops the run before it copies the memory, and the copy is not needed.
	runStopTimeout = 150 * time.Millisecond
	// runStopInterval is the pause after a call whose outcome is not known, and maxRunStopCalls bounds the calls.
	runStopInterval = 20 * time.Millisecond
	maxRunStopCalls = 20
)

// runStop makes sure that an endpoint does not work on a run that was given up or continues at another one. It is a task that ends once
// the endpoint has confirmed that, or after maxRunStopCalls.
type runStop struct {
	log      *zap.Logger
	mover    exchange.Mover
	liveness exchange.Liveness
	metrics  *serverMetrics
	endpoint fleet.Endpoint
	call     exchange.Move
	// ended is closed when the task has ended.
	ended chan struct{}
}

// newRunStop returns the task for a run of the request at an endpoint. The target is another endpoint, which may get a copy of the run's
// memory for a moment.
func (s *session) newRunStop(endpoint, target fleet.Endpoint) *runStop {
	return &runStop{
		log: s.server.log, mover: s.server.mover, liveness: s.server.liveness, metrics: s.server.metrics, endpoint: endpoint,
		call:  exchange.Move{Request: s.request.ID, Source: endpoint.Address, Target: target.Address, Final: true},
		ended: make(chan struct{}),
	}
}

// hasEnded reports whether the task has ended.
func (r *runStop) hasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// run stops the run. The connection of the run must be closed by then.
func (r *runStop) run(ctx context.Context) {
	defer close(r.ended)
	if !pause.Sleep(ctx, closeNoticeTime) {
		return
	}
	var last exchange.MoveResult
	for range maxRunStopCalls {
		last = r.stop(ctx)
		switch last.Outcome {
		case exchange.MoveNoRun:
			return
		case exchange.MoveDone, exchange.MoveNoRoom:
			r.metrics.runsStopped.Inc(1)
			r.log.Info("endpoint stopped a run that was given up; it had not noticed the close of the connection",
				zap.String("request", r.call.Request), zap.String("endpoint", r.endpoint.ID))
			r.releaseCopy(ctx, last.Handle)
			return
		}
		if r.liveness.HasEnded(ctx, r.endpoint.Address) || !pause.Sleep(ctx, runStopInterval) {
			return
		}
	}
	r.log.Warn("endpoint did not confirm that it stopped a run that was given up", zap.String("request", r.call.Request),
		zap.String("endpoint", r.endpoint.ID), logging.Cause(last.Err))
}

func (r *runStop) stop(ctx context.Context) exchange.MoveResult {
	ctx, cancel := context.WithTimeout(ctx, runStopTimeout)
	defer cancel()
	return r.mover.Move(ctx, r.call)
}

// releaseCopy releases the copy that the call has made.
func (r *runStop) releaseCopy(ctx context.Context, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseCopyTimeout)
	defer cancel()
	if err := r.mover.ReleaseCopy(ctx, r.call.Source, handle); err != nil {
		r.log.Debug("releasing the copy of a stopped run failed", zap.String("source", r.call.Source), zap.String("handle", handle), logging.Cause(err))
	}
}
