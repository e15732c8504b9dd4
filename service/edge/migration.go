package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
)

const (
	// migrationRetryInterval is the wait before another attempt to move a run off a leaving endpoint. Engines update the
	// copies of their runs several times a second.
	migrationRetryInterval = 120 * time.Millisecond
	// maxBackupAttempts is the number of attempts to continue at the backup before the memory is copied elsewhere.
	maxBackupAttempts = 3
	// refreshInterval is the interval at which a standby copy is brought up to date. Engines drop unused copies after 5 s.
	refreshInterval = 2 * time.Second
	// moveTimeout bounds one move call. A leaving endpoint ends after about 2 s.
	moveTimeout = 2 * time.Second
	// releaseCopyTimeout bounds the call that releases a copy. If the call fails, the engine drops the copy later by itself.
	releaseCopyTimeout = time.Second
	// maxBackupRefusals is the number of times that the run could not continue at the backup, for lack of a copy or of a slot, after
	// which the memory is copied elsewhere. Engines leave 1.5 to 2 s after the notice, and a copy takes up to half a second.
	maxBackupRefusals = 2
	// maxMigrationAttempts bounds the migration attempts of a run at one endpoint. A leaving endpoint serves for about 2 s.
	maxMigrationAttempts = 16
)

// migration is the state of moving one run off its endpoint. Usually the engine copies the run's memory to a backup
// endpoint as it grows. If that copy is lost or was never made, a standby copy is made and refreshed periodically.
type migration struct {
	// leaving is set once the endpoint is leaving.
	leaving  bool
	attempts int
	// timer fires when the next step is due; nil if none is scheduled.
	timer <-chan time.Time
	// target is the reservation at the endpoint of the standby copy; nil if there is none.
	target *upstream
	// handle identifies the standby copy at the target; empty until the first copy is complete.
	handle string
	// copyDone receives the result of a copy. copying is set while a copy is in progress.
	copyDone chan exchange.MoveResult
	copying  bool
	// backupRefusals is the number of times that the run could not continue at the backup since the memory was last copied elsewhere.
	backupRefusals int
	// refusedEndpoints lists the endpoints to which the copy failed.
	refusedEndpoints []string
}

// scheduleCopy schedules a standby copy if the run has no backup. Repeatable streams need none: they are short and are
// repeated if they break.
func (r *streamRelay) scheduleCopy() {
	if r.mayMove() && r.up.placement.Backup.ID == "" {
		r.migration.timer = time.After(refreshInterval / 2)
	}
}

// mayMove reports whether the run's memory can be copied and the run cannot simply be repeated.
func (r *streamRelay) mayMove() bool { return !r.route.MayRepeat() && r.canMove() }

// handleDeparture starts a migration because an endpoint of the run is leaving.
func (r *streamRelay) handleDeparture(d departure) {
	if !r.mayMove() {
		return
	}
	if d == backupLeaving {
		r.up.placement.Backup.ID = ""
	} else {
		r.migration.leaving = true
	}
	r.migrate()
}

// migrate performs the next step of the migration.
func (r *streamRelay) migrate() {
	m := &r.migration
	m.timer = nil
	m.attempts++
	keyErr := r.checkKey(false)
	switch {
	case m.attempts > maxMigrationAttempts || m.copying:
	case r.runStanding() == decision.Quarantined:
		r.log(zap.WarnLevel, "run not moved, since the request is in quarantine", zap.String("endpoint", r.up.placement.Endpoint.ID))
	case keyErr != nil:
		r.log(zap.InfoLevel, "run not moved", zap.String("endpoint", r.up.placement.Endpoint.ID), logging.Cause(keyErr))
		r.dropTarget()
		r.retryMigration()
	case m.leaving && m.handle != "":
		r.continueAtStandby()
	case m.target != nil && !m.leaving && r.server.placer.underMemoryPressure(r.ctx, r.service):
		r.log(zap.InfoLevel, "standby copy dropped to free memory for new runs", zap.String("endpoint", r.up.placement.Endpoint.ID),
			zap.String("to", m.target.placement.Endpoint.ID))
		r.dropTarget()
		r.retryMigration()
	case m.target != nil:
		r.copyMemory()
	case r.up.placement.Backup.ID == "", m.leaving && r.backupIsBusy():
		r.startCopy()
	case m.leaving:
		if r.mayContinueAtBackup() && r.continueAtBackup() {
			return
		}
		m.backupRefusals++
		if !r.up.placement.BySpeed && m.attempts >= maxBackupAttempts {
			r.up.placement.Backup.ID = ""
		}
		m.timer = time.After(migrationRetryInterval)
	}
}

// mayContinueAtBackup reports whether the run may continue at its backup. An engine without a copy is expected to refuse, but one that
// fails its requests fails this one too, and a request that may run once has then run twice.
func (r *streamRelay) mayContinueAtBackup() bool {
	backup := r.up.placement.Backup.ID
	return backup != "" && r.backupCopy.IsExpected(time.Now()) && !r.isStopping(backup)
}

// backupIsBusy reports whether the backup has refused the run so often that its memory is copied elsewhere. The backup keeps its copy,
// and is tried once more after each attempt to copy that failed.
func (r *streamRelay) backupIsBusy() bool {
	return r.up.placement.BySpeed && r.migration.backupRefusals >= maxBackupRefusals
}

// continueAtBackup continues the run at its backup endpoint and reports whether that succeeded.
func (r *streamRelay) continueAtBackup() bool {
	next, o, err := r.placeAtBackup()
	if err != nil {
		r.logUnusable(o.endpoint, err)
		return false
	}
	return r.handOver(next, o)
}

// placeAtBackup places the run at its backup endpoint.
func (r *streamRelay) placeAtBackup() (*upstream, sendOptions, error) {
	backup := r.up.placement.Backup
	o := sendOptions{endpoint: backup.ID, copyAddress: backup.Address, lastEvent: r.lastEvent, group: r.up.placement.Group()}
	next, err := r.place(r.ctx, o)
	return next, o, err
}

// continueAtStandby continues the run from its standby copy. The tokens since the last copy are computed again, which
// takes some milliseconds. A final copy would have to wait for those of the other runs on the leaving endpoint.
func (r *streamRelay) continueAtStandby() {
	if r.dropUnusableTarget() {
		r.retryMigration()
		return
	}
	target, o := r.takeTarget()
	if !r.handOver(target, o) {
		if r.up.placement.BySpeed {
			// The engine has no slot, so the next copy is made elsewhere.
			r.migration.refusedEndpoints = append(r.migration.refusedEndpoints, target.placement.Endpoint.ID)
		}
		r.retryMigration()
	}
}

// takeTarget removes the target from the migration and returns it with the options to continue from its copy.
func (r *streamRelay) takeTarget() (*upstream, sendOptions) {
	m := &r.migration
	target, o := m.target, sendOptions{
		copyAddress: r.up.placement.Endpoint.Address, copyHandle: m.handle, lastEvent: r.lastEvent,
	}
	m.target, m.handle = nil, ""
	return target, o
}

// handOver sends the request to the next endpoint and replaces the old stream by the new one. Events that the old endpoint
// sends meanwhile are not read, so the next endpoint's events follow the last forwarded one without a gap. If the copy
// cannot be used, the run stays at its endpoint.
func (r *streamRelay) handOver(next *upstream, o sendOptions) bool {
	old, id := r.up, next.placement.Endpoint.ID
	stop := r.newRunStop(old.placement.Endpoint, next.placement.Endpoint)
	overlap := time.AfterFunc(moveOverlap, func() {
		old.cancel()
		stop.run(context.WithoutCancel(r.ctx))
	})
	next, err := r.sendContinuation(next, o)
	// If the overlap has ended, its function stops the run at the old endpoint.
	stopPending := overlap.Stop()
	if err != nil {
		r.logUnusable(id, err)
		if verdict.Of(err).Verdict != verdict.NotRun {
			r.discardCopyAt(id)
		}
		return false
	}
	r.completeMove(old, next)
	if stopPending {
		go stop.run(context.WithoutCancel(r.ctx))
	}
	return true
}

// discardCopyAt discards the copy at an endpoint that may have used it for a run that was given up. The run is copied elsewhere.
func (r *streamRelay) discardCopyAt(endpoint string) {
	if r.up.placement.Backup.ID == endpoint {
		r.up.placement.Backup.ID = ""
	}
	r.migration.refusedEndpoints = append(r.migration.refusedEndpoints, endpoint)
}

func (r *streamRelay) logUnusable(endpoint string, err error) {
	r.log(zap.InfoLevel, "copy not usable", zap.String("endpoint", r.up.placement.Endpoint.ID), zap.String("to", endpoint),
		zap.Int("tries", r.migration.attempts), zap.Stringer("verdict", verdict.Of(err).Verdict), logging.Cause(err))
}

// sendContinuation sends the request to the placed endpoint, which continues from a copy of the run's memory.
func (r *streamRelay) sendContinuation(up *upstream, o sendOptions) (*upstream, error) {
	next, err := r.sendTo(r.ctx, up, o)
	if err == nil && !next.answer.Successful() {
		next.end(dispatch.Failed)
		return nil, verdict.New(verdict.Ran, verdict.ReasonEndpointFailed, "%s answered with status %d", up.placement.Endpoint.ID, next.answer.Status)
	}
	return next, err
}

// completeMove replaces the stream of the old endpoint by that of the next one.
func (r *streamRelay) completeMove(old, next *upstream) {
	r.attach(next)
	old.end(dispatch.Cancelled)
	r.server.metrics.moves.Inc(1)
	r.log(zap.InfoLevel, "run moved", zap.String("endpoint", old.placement.Endpoint.ID),
		zap.String("to", next.placement.Endpoint.ID), zap.Int("events", r.eventCount))
}
