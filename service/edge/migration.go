package edge

import (
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
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
	// copied receives the end of a copy; calling is set while one is open.
	copied  chan exchange.Moved
	calling bool
	// refused lists the endpoints that had no room.
	refused []string
}

// prepare lets a copy stand by if the run has none. Streams that may be repeated are short; they are resumed anew if they
// break.
func (r *streamRelay) prepare() {
	if r.mayMove() && r.up.placed.Backup.ID == "" {
		r.migration.next = time.After(refreshInterval / 2)
	}
}

// mayMove reports whether the run's memory can be copied and is worth it.
func (r *streamRelay) mayMove() bool {
	service := r.known.Fleet.Configuration.Services[r.service]
	return !r.route.MayRepeat() && r.request.PromptTokens > 0 && service != nil && service.Engine != nil && service.Engine.Moves
}

// depart takes the news that an endpoint of the run leaves.
func (r *streamRelay) depart(d departure) {
	if !r.mayMove() {
		return
	}
	if d == backupLeaves {
		r.up.placed.Backup.ID = ""
	} else {
		r.migration.leaving = true
	}
	r.migrate()
}

// migrate takes the next step.
func (r *streamRelay) migrate() {
	m := &r.migration
	m.next = nil
	m.tries++
	switch {
	case m.tries > maxMigrations || m.calling:
	case m.leaving && m.handle != "":
		r.continueAtStandby()
	case m.target != nil && !m.leaving && r.server.placer.crowded(r.ctx, r.service):
		r.log(zap.InfoLevel, "copy given up for new runs", zap.String("endpoint", r.up.placed.Endpoint.ID), zap.String("to", m.target.placed.Endpoint.ID))
		r.dropTarget()
		r.retryMigration()
	case m.target != nil:
		r.callMove()
	case r.up.placed.Backup.ID == "":
		r.startCopy()
	case m.leaving:
		if r.continueAtBackup() {
			return
		}
		if m.tries >= copyTries {
			r.up.placed.Backup.ID = ""
		}
		m.next = time.After(migrationRetry)
	}
}

// continueAtBackup lets the run go on at the endpoint that has a copy of its memory, and reports whether it does.
func (r *streamRelay) continueAtBackup() bool {
	next, o, err := r.placeAtBackup()
	if err != nil {
		r.logUnusable(o.at, err)
		return false
	}
	return r.handOver(next, o)
}

// placeAtBackup takes a place at the endpoint that has a copy of the run's memory.
func (r *streamRelay) placeAtBackup() (*upstream, sendOptions, error) {
	backup := r.up.placed.Backup
	o := sendOptions{at: backup.ID, copyAddress: backup.Address, lastEvent: r.lastEvent}
	next, err := r.place(r.ctx, o)
	return next, o, err
}

// continueAtStandby lets the run go on at the endpoint to which its memory was copied. What it has made since is computed
// anew there, which takes some milliseconds; a last copy of it would wait behind those of the other runs that leave.
func (r *streamRelay) continueAtStandby() {
	if r.dropDepartedTarget() {
		r.retryMigration()
		return
	}
	target, o := r.takeTarget()
	if !r.handOver(target, o) {
		r.retryMigration()
	}
}

// takeTarget takes the place of the copy that stands by out of the migration.
func (r *streamRelay) takeTarget() (*upstream, sendOptions) {
	m := &r.migration
	target, o := m.target, sendOptions{
		copyAddress: r.up.placed.Endpoint.Address, copyHandle: m.handle, lastEvent: r.lastEvent,
	}
	m.target, m.handle = nil, ""
	return target, o
}

// handOver sends the request on to the next endpoint and takes its stream in place of the old one. The events that the old
// endpoint makes meanwhile are not read, so that the next one's follow without a gap. If the copy cannot be used, the run
// stays.
func (r *streamRelay) handOver(next *upstream, o sendOptions) bool {
	old, id := r.up, next.placed.Endpoint.ID
	overlap := time.AfterFunc(moveOverlap, old.cancel)
	next, err := r.continueOn(next, o)
	overlap.Stop()
	if err != nil {
		r.logUnusable(id, err)
		return false
	}
	r.moved(old, next)
	return true
}

func (r *streamRelay) logUnusable(endpoint string, err error) {
	r.log(zap.InfoLevel, "copy not usable", zap.String("endpoint", r.up.placed.Endpoint.ID), zap.String("to", endpoint),
		zap.Int("tries", r.migration.tries), logging.Cause(err))
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
