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
	migrationRetry = 120 * time.Millisecond
	// copyTries is how often a copy that should exist is asked for before the memory is copied anew.
	copyTries = 3
	// refreshInterval is how often a copy that stands by is brought up to date. Engines keep an unused one for 5 s.
	refreshInterval = 2 * time.Second
	// moveTimeout bounds one call of a move; an endpoint that leaves is gone after about 2 s.
	moveTimeout = 2 * time.Second
	// freeTimeout bounds the call that gives up a copy; the engine drops it by itself later.
	freeTimeout = time.Second
	// maxMigrations bounds the tries for one stay on an endpoint. An endpoint that leaves serves for about 2 s.
	maxMigrations = 16
)

// migration is how one run gets off its endpoint. Its memory is copied by the engine as it grows; where that copy was lost
// or never made, one stands by that is refreshed from time to time.
type migration struct {
	// leaving is set once the endpoint leaves.
	leaving bool
	tries   int
	// next fires when something is due; nil while nothing is.
	next <-chan time.Time
	// target is the place taken for the run while its memory is copied; nil when none is.
	target *upstream
	// handle names the copy at the target; empty before the first is complete.
	handle string
	// steps receives the end of a call; calling is set while one is open.
	steps   chan moveStep
	calling bool
	// stopped is set once the run was told to stop, after which its stream ends without its end.
	stopped bool
	// refused lists the endpoints that had no room.
	refused []string
}

// prepare lets a copy stand by if the run has none. Streams that may be repeated are short; they are resumed anew if they
// break.
func (r *streamRelay) prepare() {
	if !r.route.MayRepeat() && r.up.placed.Backup.ID == "" && r.request.PromptTokens > 0 {
		r.migration.next = time.After(refreshInterval / 2)
	}
}

// depart takes the news that an endpoint of the run leaves.
func (r *streamRelay) depart(d departure) error {
	if r.route.MayRepeat() {
		return nil
	}
	if d == backupLeaves {
		r.up.placed.Backup.ID = ""
		return r.migrate()
	}
	r.migration.leaving = true
	return r.migrate()
}

// migrate takes the next step.
func (r *streamRelay) migrate() error {
	m := &r.migration
	m.next = nil
	m.tries++
	switch {
	case m.tries > maxMigrations || m.calling:
	case m.leaving && m.target != nil && m.handle != "":
		r.callMove(true)
	case m.target != nil:
		r.callMove(false)
	case r.up.placed.Backup.ID == "":
		r.startCopy()
	case m.leaving:
		if r.continueAtBackup() {
			return nil
		}
		if m.tries >= copyTries {
			r.up.placed.Backup.ID = ""
		}
		m.next = time.After(migrationRetry)
	}
	return nil
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
	target, err := r.place(r.ctx, sendOptions{moves: true, spare: !m.leaving, exclude: exclude})
	if err != nil {
		r.log(zap.InfoLevel, "no endpoint for a copy", zap.String("endpoint", r.up.placed.Endpoint.ID),
			zap.Bool("leaving", m.leaving), zap.Error(err))
		r.retryMigration()
		return
	}
	m.target, m.steps, m.handle = target, make(chan moveStep, 1), ""
	r.callMove(false)
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

// callMove starts one call of the move; its end arrives in steps.
func (r *streamRelay) callMove(final bool) {
	m := &r.migration
	m.stopped, m.calling = final, true
	call := exchange.Move{
		Request: r.request.ID, Source: r.up.placed.Endpoint.Address, Target: m.target.placed.Endpoint.Address, Final: final,
	}
	steps, mover, ctx := m.steps, r.server.mover, r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		steps <- moveStep{final: final, moved: mover.Move(ctx, call)}
	}()
}

// advance takes the end of a call. Once the endpoint leaves, the run is stopped after a copy and goes on at the target.
func (r *streamRelay) advance(step moveStep) error {
	m := &r.migration
	m.calling = false
	done := step.moved.State == exchange.MoveDone
	r.log(zap.InfoLevel, "memory copied", zap.String("endpoint", r.up.placed.Endpoint.ID), zap.String("to", m.target.placed.Endpoint.ID),
		zap.Bool("final", step.final), zap.Bool("leaving", m.leaving), zap.Bool("done", done), zap.Error(step.moved.Err))
	switch {
	case done && !step.final:
		m.handle = step.moved.Handle
		if m.leaving {
			r.callMove(true)
			return nil
		}
		r.retryMigration()
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
	r.retryMigration()
	return nil
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
				log.Debug("copy not freed", zap.String("source", source), zap.String("handle", handle), zap.Error(err))
			}
		}()
	}
	m.target.end(dispatch.Cancelled)
	m.target, m.handle, m.stopped = nil, "", false
}

// finishMove passes on what the stopped run still had made, and goes on at the target.
func (r *streamRelay) finishMove(handle string) error {
	if err := r.drain(); err != nil {
		return nil
	}
	next, err := r.continueAtTarget(handle)
	if err != nil {
		return r.resume(err)
	}
	r.moved(r.up, next)
	return nil
}

// continueAtTarget sends the request on from the copy that was made for it.
func (r *streamRelay) continueAtTarget(handle string) (*upstream, error) {
	target := r.migration.target
	r.migration.target, r.migration.handle = nil, ""
	return r.continueOn(target, sendOptions{
		copyAddress: r.up.placed.Endpoint.Address, copyHandle: handle, lastEvent: r.lastEvent,
	})
}

// returnToSource lets a stopped run go on where it was.
func (r *streamRelay) returnToSource(handle string) error {
	r.migration.handle = ""
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
