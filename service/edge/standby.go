package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// startCopy takes a place on another endpoint and copies the run's memory there while it goes on.
func (r *streamRelay) startCopy() {
	m := &r.migration
	exclude := append(slices.Clone(m.refused), r.up.placed.Endpoint.ID)
	target, err := r.place(r.ctx, sendOptions{moves: true, spare: !m.leaving, exclude: exclude})
	if err != nil {
		r.log(zap.InfoLevel, "no endpoint for a copy", zap.String("endpoint", r.up.placed.Endpoint.ID),
			zap.Bool("leaving", m.leaving), logging.Cause(err))
		r.retryMigration()
		return
	}
	m.target, m.copied, m.handle = target, make(chan exchange.Moved, 1), ""
	r.callMove()
}

// retryMigration looks again soon if the endpoint leaves, and otherwise when a copy would be refreshed.
func (r *streamRelay) retryMigration() {
	pause := refreshInterval
	if r.migration.leaving {
		pause = migrationRetry
	} else {
		r.migration.tries = 0
	}
	r.migration.next = time.After(pause)
}

// callMove starts one copy; its end arrives in copied.
func (r *streamRelay) callMove() {
	m := &r.migration
	m.calling = true
	call := exchange.Move{Request: r.request.ID, Source: r.up.placed.Endpoint.Address, Target: m.target.placed.Endpoint.Address}
	copied, mover, ctx := m.copied, r.server.mover, r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		copied <- mover.Move(ctx, call)
	}()
}

// advance takes the end of a copy. Once the endpoint leaves, the run goes on from it.
func (r *streamRelay) advance(copied exchange.Moved) {
	m := &r.migration
	m.calling = false
	m.target.noteFirstEvent()
	done := copied.State == exchange.MoveDone
	r.log(zap.InfoLevel, "memory copied", zap.String("endpoint", r.up.placed.Endpoint.ID), zap.String("to", m.target.placed.Endpoint.ID),
		zap.Bool("leaving", m.leaving), zap.Bool("done", done), logging.Cause(copied.Err))
	switch {
	case done && m.leaving:
		m.handle = copied.Handle
		r.continueAtStandby()
		return
	case done:
		m.handle = copied.Handle
	default:
		m.refused = append(m.refused, m.target.placed.Endpoint.ID)
		r.dropTarget()
	}
	r.retryMigration()
}

// dropDepartedTarget gives the copy up if its endpoint left while the copy was made, and reports whether it did.
func (r *streamRelay) dropDepartedTarget() bool {
	select {
	case <-r.migration.target.leaving:
		r.dropTarget()
		return true
	default:
		return false
	}
}

// dropTarget gives back the place that was taken for a copy, and the copy.
func (r *streamRelay) dropTarget() {
	m := &r.migration
	if m.target == nil {
		return
	}
	if m.handle != "" {
		source, handle, mover := r.up.placed.Endpoint.Address, m.handle, r.server.mover
		log := r.server.log
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
			defer cancel()
			if err := mover.Free(ctx, source, handle); err != nil {
				log.Debug("copy not freed", zap.String("source", source), zap.String("handle", handle), logging.Cause(err))
			}
		}()
	}
	m.target.end(dispatch.Cancelled)
	m.target, m.handle = nil, ""
}
