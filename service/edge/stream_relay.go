package edge

import (
	"context"
	"io"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// moveOverlap is how long a run may go on at its old endpoint after it was sent to the next one. The platform allows
// 400 ms.
const moveOverlap = 300 * time.Millisecond

// streamRelay passes the events of one generation on, over the endpoints on which it runs in turn.
type streamRelay struct {
	*session
	ctx   context.Context
	up    *upstream
	items <-chan streamItem
	// stopReading ends the reader of the current endpoint.
	stopReading context.CancelFunc
	// lastEvent is the id of the last event that the caller has; events counts them.
	lastEvent string
	events    int
	// passedAt is when the caller got the last event; longestPause is the longest time between two.
	passedAt     time.Time
	longestPause time.Duration
	// headerSent is set once the caller has the header of the answer.
	headerSent bool
	migration  migration
}

// relayStream passes a stream on. An error means that the caller has seen nothing of it.
func (s *session) relayStream(ctx context.Context, up *upstream) error {
	r := &streamRelay{session: s, ctx: ctx}
	r.lastEvent = s.request.LastEvent
	r.follow(up)
	defer func() {
		r.stopReading()
		r.dropTarget()
		r.up.end(dispatch.Cancelled)
	}()
	return r.run()
}

// follow takes the stream of an endpoint as the one to pass on.
func (r *streamRelay) follow(up *upstream) {
	if r.stopReading != nil {
		r.stopReading()
	}
	ctx, cancel := context.WithCancel(r.ctx)
	r.up, r.stopReading, r.migration = up, cancel, migration{}
	r.items = readStream(ctx, r.server.streamOf(up.answer.Body))
	r.prepare()
}

// targetLeaving returns the channel that says that the endpoint of a copy that stands by leaves; nil while none does.
func (r *streamRelay) targetLeaving() <-chan departure {
	if r.migration.target == nil || r.migration.calling {
		return nil
	}
	return r.migration.target.leaving
}

// run passes events on until the stream ends.
func (r *streamRelay) run() error {
	for {
		select {
		case <-r.ctx.Done():
			return r.interrupted(r.ctx.Err())
		case d := <-r.up.leaving:
			r.depart(d)
		case <-r.migration.next:
			r.migrate()
		case <-r.targetLeaving():
			r.dropTarget()
			r.retryMigration()
		case copied := <-r.migration.copied:
			r.advance(copied)
		case item := <-r.items:
			switch {
			case item.err == io.EOF:
				r.up.end(dispatch.Succeeded)
				r.done(r.up, zap.Int("events", r.events), zap.Duration("longest_pause", r.longestPause))
				return r.sendHeader()
			case item.err != nil:
				if r.ctx.Err() != nil {
					return r.interrupted(item.err)
				}
				if err := r.resume(item.err); err != nil {
					return err
				}
			default:
				if err := r.pass(item); err != nil {
					return nil
				}
			}
		}
	}
}

// pass hands an event to the caller. An error means that the caller has left.
func (r *streamRelay) pass(item streamItem) error {
	if err := r.sendHeader(); err != nil {
		return err
	}
	now := time.Now()
	if r.events == 0 {
		r.server.metrics.firstByte.RecordDuration(now.Sub(r.request.Received))
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.passedAt))
	}
	r.passedAt = now
	if err := r.caller.Write(item.event.Raw); err != nil {
		return err
	}
	if item.event.ID != "" {
		r.lastEvent = item.event.ID
	}
	r.events++
	r.up.noteFirstEvent()
	return nil
}

func (r *streamRelay) sendHeader() error {
	if r.headerSent {
		return nil
	}
	r.headerSent = true
	return r.caller.Begin(r.up.answer.Status, r.up.answer.Header, -1)
}

// interrupted ends the stream because the caller left or the deadline passed.
func (r *streamRelay) interrupted(err error) error {
	if !r.headerSent {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "before the first event: %w", err)
	}
	r.up.end(dispatch.Cancelled)
	r.cut(r.up, err)
	return nil
}

// resume goes on after the stream broke: from the copy of the run's memory, or for resumable streams anew from the last
// event. Without either, the caller's answer is cut.
func (r *streamRelay) resume(cause error) error {
	old := r.up
	old.end(dispatch.Broken)
	r.tried = append(r.tried, old.placed.Endpoint.ID)
	r.log(zap.WarnLevel, "stream broke", zap.String("endpoint", old.placed.Endpoint.ID), zap.Int("events", r.events),
		zap.String("last_event", r.lastEvent), logging.Cause(cause))
	if r.continueBroken(old) {
		return nil
	}
	err := verdict.New(verdict.MayHaveRun, verdict.ReasonIncomplete, "stream of %s broke: %w", old.placed.Endpoint.ID, cause)
	for r.mayTryAgain(r.ctx, err) {
		next, failure := r.send(r.ctx, sendOptions{lastEvent: r.lastEvent})
		if failure == nil && next.answer.Successful() {
			r.follow(next)
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
	r.cut(old, cause)
	return nil
}

// continueBroken goes on from a copy of the memory of a run whose endpoint is gone, and reports whether it does.
func (r *streamRelay) continueBroken(old *upstream) bool {
	var next *upstream
	var o sendOptions
	var err error
	switch {
	case r.migration.handle != "" && !r.dropDepartedTarget():
		next, o = r.takeTarget()
	case old.placed.Backup.ID != "":
		r.dropTarget()
		next, o, err = r.placeAtBackup()
	default:
		r.dropTarget()
		return false
	}
	if err == nil {
		next, err = r.continueOn(next, o)
	}
	if err != nil {
		r.server.metrics.lostMoves.Inc(1)
		return false
	}
	r.moved(old, next)
	return true
}
