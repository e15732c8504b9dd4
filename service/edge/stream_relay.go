package edge

import (
	"context"
	"errors"
	"io"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/stream"
)

// moveOverlap is how long a run may continue at its old endpoint after it was sent to the next one. The platform allows
// 400 ms.
const moveOverlap = 300 * time.Millisecond

// errNoEvents is the cause of a stream that ended before its first event. Every answer has at least one, and the end of an answer
// without a length or chunks does not show whether the endpoint has crashed.
var errNoEvents = errors.New("the stream ended without an event")

// streamRelay forwards the events of one streamed answer, from each endpoint on which the request runs in turn.
type streamRelay struct {
	*session
	ctx    context.Context
	up     *upstream
	reader *eventReader
	// output buffers the events that the caller has not read; nil if the relay writes them itself.
	output *callerOutput
	// stopReading stops the reader of the current endpoint's stream.
	stopReading context.CancelFunc
	// lastEvent is the id of the last event that was forwarded; eventCount is the number of forwarded events.
	lastEvent  string
	eventCount int
	// eventsBefore is the number of events that were forwarded before the current endpoint's stream.
	eventsBefore int
	// lastForwardedAt is the time of the last forwarded event; longestPause is the longest time between two events.
	lastForwardedAt time.Time
	longestPause    time.Duration
	// headerSent is set once the header of the answer was forwarded.
	headerSent bool
	// backupCopy tells whether the backup of the run at the current endpoint holds a copy of its memory.
	backupCopy stream.BackupCopy
	migration  migration
	timer      runTimer
}

// relayStream forwards a stream. An error means that the caller has received none of it.
func (s *session) relayStream(ctx context.Context, up *upstream) error {
	r := &streamRelay{session: s, ctx: ctx, output: s.server.buffers.newOutput(s.caller)}
	r.lastEvent = s.request.LastEvent
	r.attach(up)
	defer func() {
		r.stopReading()
		r.dropTarget()
		r.up.end(dispatch.Cancelled)
		r.output.stop(ctx)
	}()
	return r.run()
}

// attach makes an endpoint's stream the one that is forwarded.
func (r *streamRelay) attach(up *upstream) {
	if r.stopReading != nil {
		r.stopReading()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.up, r.stopReading, r.migration, r.backupCopy = up, cancel, migration{}, stream.BackupCopy{}
	r.eventsBefore = r.eventCount
	r.timer.start(up, r.lastEvent != "")
	r.reader = readStream(ctx, r.server.newStream(up.answer.Body), r.output.readAhead())
	r.scheduleCopy()
}

// targetLeaving returns the departure channel of the standby copy's endpoint; nil if there is no copy or it is being made.
func (r *streamRelay) targetLeaving() <-chan departure {
	if r.migration.target == nil || r.migration.copying {
		return nil
	}
	return r.migration.target.leaving
}

// run forwards events until the stream ends.
func (r *streamRelay) run() error {
	for {
		select {
		case <-r.ctx.Done():
			return r.endInterrupted(r.ctx.Err())
		case d := <-r.up.leaving:
			r.handleDeparture(d)
		case <-r.migration.timer:
			r.migrate()
		case <-r.targetLeaving():
			r.dropTarget()
			r.retryMigration()
		case copied := <-r.migration.copyDone:
			r.handleCopyDone(copied)
		case size := <-r.output.written():
			r.output.remove(r.ctx, size)
		case limit := <-r.output.limits():
			r.applyLimit(limit)
		case <-r.output.failed():
			r.endUnread()
		case item := <-r.readableItems():
			r.reader.release(item)
			r.timer.observe(item)
			if item.err == io.EOF && r.eventCount == 0 && r.request.LastEvent == "" {
				item.err = errNoEvents
			}
			switch {
			case item.err == io.EOF:
				r.timer.report()
				r.up.end(dispatch.Succeeded)
				r.reportAnswer(r.ctx)
				r.deliverRest()
				r.finish(r.up, zap.Int("events", r.eventCount), zap.Duration("longest_pause", r.longestPause))
				return r.sendHeader()
			case item.err != nil:
				if r.ctx.Err() != nil {
					return r.endInterrupted(item.err)
				}
				if err := r.resume(item.err); err != nil {
					return err
				}
			default:
				if err := r.forward(item); err != nil {
					return nil
				}
			}
		}
	}
}

// forward writes an event to the caller. An error means that the caller has disconnected.
func (r *streamRelay) forward(item streamItem) error {
	if err := r.sendHeader(); err != nil {
		return err
	}
	now := time.Now()
	if r.eventCount == 0 {
		r.reportBegun(r.ctx)
		r.server.metrics.firstByte.RecordDuration(now.Sub(r.request.Received))
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.lastForwardedAt))
	}
	r.lastForwardedAt = now
	if err := r.write(item.event.Raw); err != nil {
		return err
	}
	if item.event.ID != "" {
		r.lastEvent = item.event.ID
	}
	r.eventCount++
	r.backupCopy.RecordEvent(now)
	r.up.reportFirstEvent()
	return nil
}

func (r *streamRelay) sendHeader() error {
	if r.headerSent {
		return nil
	}
	r.headerSent = true
	err := r.caller.Begin(r.up.answer.Status, r.up.answer.Header, -1)
	r.output.start()
	return err
}

// endInterrupted ends the stream because the caller disconnected or the deadline passed.
func (r *streamRelay) endInterrupted(err error) error {
	if !r.headerSent {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "request ended before the first event: %w", err)
	}
	r.up.end(dispatch.Cancelled)
	r.reportUnread(err)
	r.abort(r.up, err)
	return nil
}

// resume continues after the stream broke. The run continues from a copy of its memory, or a repeatable request is sent
// again with the id of the last event. If neither is possible, the caller's answer is cut.
func (r *streamRelay) resume(cause error) error {
	old := r.up
	old.end(dispatch.Broken)
	r.giveUp(r.ctx, old.placement.Endpoint)
	r.triedEndpoints = append(r.triedEndpoints, old.placement.Endpoint.ID)
	r.log(zap.WarnLevel, "stream broke", zap.String("endpoint", old.placement.Endpoint.ID), zap.Int("events", r.eventCount),
		zap.String("last_event", r.lastEvent), logging.Cause(cause))
	if r.mayContinue(old) && r.continueFromCopy(old) {
		return nil
	}
	r.dropTarget()
	err := verdict.New(verdict.MayHaveRun, verdict.ReasonIncomplete, "stream of %s broke: %w", old.placement.Endpoint.ID, cause)
	for r.mayRetry(r.ctx, err) {
		next, failure := r.send(r.ctx, sendOptions{lastEvent: r.lastEvent})
		if failure == nil && next.answer.Successful() {
			r.attach(next)
			return nil
		}
		if failure == nil {
			next.end(dispatch.Failed)
			break
		}
		err = verdict.Of(failure)
	}
	if !r.headerSent {
		return err
	}
	r.deliverRest()
	r.abort(old, cause)
	return nil
}

// mayContinue reports whether a run that broke at an endpoint may continue from its copy. The copy's endpoint would work on the
// same answer and may crash as well.
func (r *streamRelay) mayContinue(broken *upstream) bool {
	if r.eventCount == 0 && r.request.LastEvent == "" {
		return !r.reportCrash(r.ctx, broken.placement.Endpoint)
	}
	begun := r.eventCount > r.eventsBefore || r.eventsBefore == 0
	return r.mayContinueAfterBreak(r.ctx, broken.placement.Endpoint, begun)
}

// continueFromCopy continues a run whose endpoint failed from a copy of its memory, and reports whether that succeeded.
func (r *streamRelay) continueFromCopy(old *upstream) bool {
	var next *upstream
	var o sendOptions
	var err error
	switch {
	case r.migration.handle != "" && !r.dropUnusableTarget():
		next, o = r.takeTarget()
	case r.mayContinueAtBackup():
		r.dropTarget()
		next, o, err = r.placeAtBackup()
	default:
		r.dropTarget()
		return false
	}
	if err == nil {
		next, err = r.sendContinuation(next, o)
	}
	if err != nil {
		r.server.metrics.movesFailed.Inc(1)
		return false
	}
	r.completeMove(old, next)
	return true
}
