package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

const (
	// migrationRetry is the pause before a run that could not be moved is looked at again. Copies are sent several times a
	// second.
	migrationRetry = 250 * time.Millisecond
	// copyTries is how often a copy that should exist is asked for before the memory is copied anew.
	copyTries = 2
	// moveTimeout bounds one call of a move; the endpoint is gone after about 2 s.
	moveTimeout = 2 * time.Second
	// maxMigrations bounds the tries for one stay on an endpoint. An endpoint that leaves serves for about 2 s.
	maxMigrations = 8
)

// migration is the way of one run off an endpoint that leaves.
type migration struct {
	tries int
	// retry fires when the run is looked at again; nil while nothing is due.
	retry <-chan time.Time
	// target is the place that was taken for the run while its memory is copied; nil when none is.
	target *upstream
	// steps receives the end of a call.
	steps chan moveStep
	// stopped is set once the run was told to stop, after which its stream ends without its end.
	stopped bool
	// refused lists the endpoints that had no room.
	refused []string
}

// migrate takes the next step for a run whose endpoint leaves: the copy that was made as it grew, or else a copy now.
func (r *streamRelay) migrate() {
	m := &r.migration
	m.retry = nil
	m.tries++
	if m.tries > maxMigrations || m.target != nil || r.route.MayRepeat() {
		// Streams that may be repeated are short; they are resumed anew if they break.
		return
	}
	backup := r.up.placed.Backup
	if backup.ID != "" && m.tries <= copyTries {
		if r.continueAtBackup() {
			return
		}
		m.retry = time.After(migrationRetry)
		return
	}
	r.startCopy()
}

// continueAtBackup lets the run go on at the endpoint that has a copy of its memory, and reports whether it does. The
// events that the old endpoint makes meanwhile are not read, so that the next one's follow without a gap. If the copy
// cannot be used, the run stays.
func (r *streamRelay) continueAtBackup() bool {
	old, backup := r.up, r.up.placed.Backup
	overlap := time.AfterFunc(moveOverlap, old.cancel)
	next, err := r.continueWith(sendOptions{at: backup.ID, copyAddress: backup.Address, lastEvent: r.lastEvent})
	stopped := !overlap.Stop()
	if err != nil {
		r.log(zap.InfoLevel, "copy not usable", zap.String("endpoint", old.placed.Endpoint.ID), zap.String("to", backup.ID),
			zap.Int("tries", r.migration.tries), zap.Bool("stopped", stopped), zap.Error(err))
		return false
	}
	r.moved(old, next)
	return true
}

// startCopy takes a place on another endpoint and copies the run's memory there while it goes on.
func (r *streamRelay) startCopy() {
	m := &r.migration
	exclude := append(slices.Clone(m.refused), r.up.placed.Endpoint.ID)
	target, err := r.place(r.ctx, sendOptions{moves: true, exclude: exclude})
	if err != nil {
		r.log(zap.WarnLevel, "no endpoint to move to", zap.String("endpoint", r.up.placed.Endpoint.ID), zap.Error(err))
		m.retry = time.After(migrationRetry)
		return
	}
	m.target, m.steps = target, make(chan moveStep, 1)
	r.callMove(false)
}

// callMove starts one call of the move; its end arrives in steps.
func (r *streamRelay) callMove(final bool) {
	m := &r.migration
	m.stopped = final
	call := exchange.Move{
		Request: r.request.ID, Source: r.up.placed.Endpoint.Address, Target: m.target.placed.Endpoint.Address, Final: final,
	}
	steps, mover := m.steps, r.server.mover
	ctx := r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		steps <- moveStep{final: final, moved: mover.Move(ctx, call)}
	}()
}

// advance takes the end of a call: after the first copy the run is stopped and the rest copied, and then it goes on at the
// target.
func (r *streamRelay) advance(step moveStep) error {
	m := &r.migration
	done := step.moved.State == exchange.MoveDone
	r.log(zap.InfoLevel, "memory copied", zap.String("endpoint", r.up.placed.Endpoint.ID),
		zap.String("to", m.target.placed.Endpoint.ID), zap.Bool("final", step.final), zap.Bool("done", done), zap.Error(step.moved.Err))
	switch {
	case done && !step.final:
		r.callMove(true)
		return nil
	case done:
		return r.finishMove(step.moved.Handle)
	case step.final && step.moved.Handle != "":
		// The target has no room, but the source keeps the memory of the run that it stopped.
		return r.returnToSource(step.moved.Handle)
	case step.final && step.moved.State != exchange.MoveNoRun:
		return r.resume(step.moved.Err)
	}
	m.refused = append(m.refused, m.target.placed.Endpoint.ID)
	r.dropTarget()
	m.retry = time.After(migrationRetry)
	return nil
}

// dropTarget gives back the place that was taken for a move.
func (r *streamRelay) dropTarget() {
	if r.migration.target != nil {
		r.migration.target.end(dispatch.Cancelled)
		r.migration.target, r.migration.stopped = nil, false
	}
}

// finishMove passes on what the stopped run still had made, and goes on at the target.
func (r *streamRelay) finishMove(handle string) error {
	if err := r.drain(); err != nil {
		return nil
	}
	old, target := r.up, r.migration.target
	r.migration.target = nil
	next, err := r.continueOn(target, sendOptions{
		copyAddress: old.placed.Endpoint.Address, copyHandle: handle, lastEvent: r.lastEvent,
	})
	if err != nil {
		return r.resume(err)
	}
	r.moved(old, next)
	return nil
}

// returnToSource lets a stopped run go on where it was.
func (r *streamRelay) returnToSource(handle string) error {
	r.dropTarget()
	if err := r.drain(); err != nil {
		return nil
	}
	old := r.up
	source := &upstream{placed: old.placed, cancel: func() {}, placer: r.server.placer}
	next, err := r.continueOn(source, sendOptions{
		copyAddress: old.placed.Endpoint.Address, copyHandle: handle, lastEvent: r.lastEvent,
	})
	if err != nil {
		return r.resume(err)
	}
	old.ended = true
	old.cancel()
	r.follow(next)
	return nil
}

// drain passes on the events of a stopped run until its stream ends. An error means that the caller has left.
func (r *streamRelay) drain() error {
	if r.items == nil {
		return nil
	}
	timeout := time.NewTimer(moveOverlap)
	defer timeout.Stop()
	for {
		select {
		case item := <-r.items:
			if item.err != nil {
				return nil
			}
			if err := r.pass(item); err != nil {
				return err
			}
		case <-timeout.C:
			return nil
		case <-r.ctx.Done():
			return r.ctx.Err()
		}
	}
}

// continueWith sends the request on from a copy of its memory.
func (r *streamRelay) continueWith(o sendOptions) (*upstream, error) {
	up, err := r.place(r.ctx, o)
	if err != nil {
		return nil, err
	}
	return r.continueOn(up, o)
}

// continueOn sends the request on from a copy of its memory to an endpoint that was placed.
func (r *streamRelay) continueOn(up *upstream, o sendOptions) (*upstream, error) {
	next, err := r.sendTo(r.ctx, up, o)
	if err == nil && !next.answer.Successful() {
		next.end(dispatch.Failed)
		return nil, verdict.New(verdict.Ran, verdict.ReasonEndpointFailed, "%s answered with status %d", up.placed.Endpoint.ID, next.answer.Status)
	}
	return next, err
}

// moved takes the stream of the next endpoint in place of the old one.
func (r *streamRelay) moved(old, next *upstream) {
	r.follow(next)
	old.end(dispatch.Cancelled)
	r.server.metrics.moves.Inc(1)
	r.log(zap.InfoLevel, "run moved", zap.String("endpoint", old.placed.Endpoint.ID), zap.String("to", next.placed.Endpoint.ID), zap.Int("events", r.events))
}
