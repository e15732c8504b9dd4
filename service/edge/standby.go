package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// startCopy reserves another endpoint and copies the run's memory there while the run continues.
func (r *streamRelay) startCopy() {
	m := &r.migration
	exclude := append(slices.Clone(m.refusedEndpoints), r.up.placement.Endpoint.ID)
	if backup := r.up.placement.Backup.ID; backup != "" {
		exclude = append(exclude, backup)
	}
	for _, stop := range r.stops {
		if !stop.hasEnded() {
			exclude = append(exclude, stop.endpoint.ID)
		}
	}
	if m.backupRefusals > 0 {
		m.backupRefusals = maxBackupRefusals - 1
	}
	o := sendOptions{
		copyPending: true, spareMemoryOnly: !m.leaving, exclude: exclude,
		sourceDataCentre: r.up.placement.Endpoint.DataCentre, group: r.up.placement.Group(),
	}
	target, err := r.place(r.ctx, o)
	if err != nil {
		r.log(zap.InfoLevel, "no endpoint for a copy", zap.String("endpoint", r.up.placement.Endpoint.ID),
			zap.Bool("leaving", m.leaving), logging.Cause(err))
		r.retryMigration()
		return
	}
	m.target, m.copyDone, m.handle = target, make(chan exchange.MoveResult, 1), ""
	r.copyMemory()
}

// retryMigration schedules the next step: soon if the endpoint is leaving, otherwise after the refresh interval.
func (r *streamRelay) retryMigration() {
	interval := refreshInterval
	if r.migration.leaving {
		interval = migrationRetryInterval
	} else {
		r.migration.attempts = 0
	}
	r.migration.timer = time.After(interval)
}

// copyMemory starts one copy. Its result is sent to copyDone.
func (r *streamRelay) copyMemory() {
	m := &r.migration
	m.copying = true
	call := exchange.Move{Request: r.request.ID, Source: r.up.placement.Endpoint.Address, Target: m.target.placement.Endpoint.Address}
	copied, mover, ctx := m.copyDone, r.server.mover, r.ctx
	go func() {
		ctx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		copied <- mover.Move(ctx, call)
	}()
}

// handleCopyDone handles the result of a copy. If the endpoint is leaving, the run continues from the copy.
func (r *streamRelay) handleCopyDone(result exchange.MoveResult) {
	m := &r.migration
	m.copying = false
	if result.Statement != (exchange.Statement{}) {
		r.server.placer.reportStatement(r.up.placement.Endpoint, result.Statement, time.Time{})
	}
	m.target.reportFirstEvent()
	done := result.Outcome == exchange.MoveDone
	r.log(zap.InfoLevel, "memory copy ended", zap.String("endpoint", r.up.placement.Endpoint.ID), zap.String("to", m.target.placement.Endpoint.ID),
		zap.Bool("leaving", m.leaving), zap.Bool("done", done), logging.Cause(result.Err))
	switch {
	case done && m.leaving:
		m.handle = result.Handle
		r.continueAtStandby()
		return
	case done:
		m.handle = result.Handle
	default:
		m.refusedEndpoints = append(m.refusedEndpoints, m.target.placement.Endpoint.ID)
		r.dropTarget()
	}
	r.retryMigration()
}

// dropUnusableTarget drops the target if its endpoint may not get the run now, and reports whether it did. Much can have changed since the
// target was placed: the endpoint may leave, have asked for a pause or stated a limit.
func (r *streamRelay) dropUnusableTarget() bool {
	err := r.checkTarget()
	if err == nil {
		return false
	}
	r.log(zap.InfoLevel, "standby copy dropped, since its endpoint may not be used", zap.String("endpoint", r.up.placement.Endpoint.ID),
		zap.String("to", r.migration.target.placement.Endpoint.ID), logging.Cause(err))
	r.dropTarget()
	return true
}

// checkTarget returns an error if the endpoint of the target may not get the run now.
func (r *streamRelay) checkTarget() error {
	placement := r.migration.target.placement
	select {
	case <-r.migration.target.leaving:
		return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "endpoint %s: %s", placement.Endpoint.ID, dispatch.Leaving)
	default:
	}
	reservation, err := r.server.placer.checkReservation(r.ctx, placement.Run)
	switch {
	case err != nil:
		return err
	case reservation.Obstacle != "":
		return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "endpoint %s: %s", placement.Endpoint.ID, reservation.Obstacle)
	case !reservation.RateLimited:
		return nil
	}
	if !r.acquireRate(r.ctx, placement.Endpoint, reservation.RateLimit, true).Granted {
		return verdict.New(verdict.NotRun, verdict.ReasonNoEndpoint, "no grant of the limit of endpoint %s", placement.Endpoint.ID)
	}
	return nil
}

// dropTarget releases the target and its copy.
func (r *streamRelay) dropTarget() {
	m := &r.migration
	if m.target == nil {
		return
	}
	if m.handle != "" {
		source, handle, mover := r.up.placement.Endpoint.Address, m.handle, r.server.mover
		log := r.server.log
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseCopyTimeout)
			defer cancel()
			if err := mover.ReleaseCopy(ctx, source, handle); err != nil {
				log.Debug("releasing a standby copy failed", zap.String("source", source), zap.String("handle", handle), logging.Cause(err))
			}
		}()
	}
	m.target.end(dispatch.Cancelled)
	m.target, m.handle = nil, ""
}
