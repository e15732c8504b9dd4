package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/stream"
	"azuredyke.dev/azuredyke/transport/engine"
)

const (
	// maxResumes bounds the resumes of one generation without a new part in between.
	maxResumes = 4
	// resumeDelay is the wait before the second and later resumes; it doubles each time.
	resumeDelay = 100 * time.Millisecond
	// cancelTimeout bounds the cancellation of a generation whose caller hung up.
	cancelTimeout = time.Second
	// reportTimeout bounds the delivery of the end of a grant.
	reportTimeout = 2 * time.Second
	// progressInterval is the shortest time between two reports of progress.
	progressInterval = 250 * time.Millisecond
)

// attempt is one generation of a session.
type attempt struct {
	session *session
	grant   message.Grant
	asked   time.Time
	number  int
	// generation names the generation at its endpoint.
	generation string
	// next is the first part that the caller does not have.
	next int

	assembler *stream.Assembler
	started   time.Time
	first     time.Duration
	reported  time.Time
	resumes   int
	// mayPlaceAgain is set when another attempt cannot give the caller two generations and is allowed.
	mayPlaceAgain bool
}

func newAttempt(s *session, g message.Grant, asked time.Time, number int) *attempt {
	return &attempt{
		session: s, grant: g, asked: asked, number: number, generation: fmt.Sprintf("%s-%d", s.id, number),
	}
}

// run sends the request and relays its answer.
func (a *attempt) run(caller, detached context.Context) *verdict.Error {
	return a.follow(caller, detached, func(ctx context.Context) *engine.Stream {
		a.report(detached, message.GrantStarted, nil)
		return a.session.server.Client.Open(ctx, a.session.startOf(a))
	})
}

// reattach relays the rest of a generation that runs already.
func (a *attempt) reattach(caller, detached context.Context) *verdict.Error {
	a.resumes = 1
	return a.follow(caller, detached, a.resume)
}

// resume asks the endpoint for the parts that the caller does not have.
func (a *attempt) resume(ctx context.Context) *engine.Stream {
	return a.session.server.Client.Resume(ctx, a.grant.Endpoint.Address, a.generation, a.assembler.Next())
}

// follow relays a generation to its end, resuming it when its connection breaks or stalls.
func (a *attempt) follow(caller, detached context.Context, open func(context.Context) *engine.Stream) *verdict.Error {
	ctx, cancel := context.WithCancel(detached)
	defer cancel()
	a.started = time.Now()
	a.reported = a.started
	a.assembler = stream.NewAssembler(a.started, a.next)
	running := open(ctx)
	for {
		e := a.relay(caller, detached, running)
		if e.callerGone && a.keep(detached, running) {
			return errDetached
		}
		running.Close()
		switch {
		case e.whole:
			a.report(detached, message.GrantCompleted, nil)
			return nil
		case e.callerGone:
			return a.hangUp(detached)
		case !a.mayResume(e.failure):
			return a.fail(detached, e.failure)
		case !a.waitToResume(caller):
			return a.hangUp(detached)
		}
		running = a.resume(ctx)
	}
}

// errDetached ends a session whose generation was handed over or ran to its end without a caller.
var errDetached = verdict.New(verdict.Ran, verdict.ReasonCancelled, "the caller hung up")

// keep lets the generation of a caller who hung up go on for the resume window, so that the caller can come back for it. It
// returns when the generation has ended, was taken over or, with false, must be cancelled.
func (a *attempt) keep(ctx context.Context, running *engine.Stream) bool {
	if a.session.window == 0 || a.assembler.Next() == 0 {
		return false
	}
	requests := make(chan takeOver)
	d := a.session.server.Detached
	if !d.register(ctx, a.generation, requests) {
		// The caller has come back already. Its new session has no grant, so this one stays charged until a load report
		// shows that the generation has ended.
		running.Close()
		a.report(ctx, message.GrantFailed, nil)
		return true
	}
	defer d.forget(ctx, a.generation)
	window := time.NewTimer(a.session.window)
	defer window.Stop()
	for {
		select {
		case <-window.C:
			return false
		case r := <-requests:
			running.Close()
			r.reply <- a.grant
			return true
		case e, ok := <-running.Events():
			if !ok || e.Kind == engine.EventFailed {
				return false
			}
			if e.Kind == engine.EventEnd {
				a.report(ctx, message.GrantCompleted, nil)
				return true
			}
		}
	}
}

// relay passes parts on until the connection ends in one way or another.
func (a *attempt) relay(caller, detached context.Context, running *engine.Stream) ending {
	opened := time.Now()
	armed := a.deadline(opened)
	timer := time.NewTimer(time.Until(armed))
	defer timer.Stop()
	for {
		select {
		case <-caller.Done():
			return ending{callerGone: true}
		case <-timer.C:
			armed = a.deadline(opened)
			if wait := time.Until(armed); wait > 0 {
				timer.Reset(wait)
				continue
			}
			a.report(detached, message.GrantStalled, nil)
			a.session.server.metrics.stall.Record(time.Since(a.assembler.Last()))
			return ending{failure: &engine.Failure{Sent: true, Err: errStalled}}
		case event, ok := <-running.Events():
			if !ok {
				return ending{failure: &engine.Failure{Sent: true, Err: errClosed}}
			}
			if e := a.take(detached, event); e != nil {
				return *e
			}
			// The first part ends the long wait for it; later parts mostly move the deadline back, which the timer finds out
			// when it fires.
			if next := a.deadline(opened); next.Before(armed) {
				armed = next
				timer.Reset(time.Until(armed))
			}
		}
	}
}

var (
	errStalled    = errors.New("no token arrived in time")
	errClosed     = errors.New("the connection to the endpoint ended")
	errGap        = errors.New("a part of the generation is missing")
	errIncomplete = errors.New("the generation ended without its end reason")
	errCallerGone = errors.New("the caller hung up")
)

// deadline returns when the running connection counts as stalled.
func (a *attempt) deadline(opened time.Time) time.Time {
	options := a.session.server.options
	if a.assembler.Next() == 0 {
		return opened.Add(options.FirstTokenTimeout)
	}
	stalled := a.assembler.StallDeadline(options.StallAfter)
	if earliest := opened.Add(options.StallAfter); stalled.Before(earliest) {
		return earliest
	}
	return stalled
}

// take handles one event; nil means that the stream goes on.
func (a *attempt) take(ctx context.Context, e engine.Event) *ending {
	switch e.Kind {
	case engine.EventPart:
		return a.takePart(ctx, e)
	case engine.EventEnd:
		return a.takeEnd()
	default:
		return &ending{failure: e.Failure}
	}
}

// takeEnd passes the terminal mark on, but only after the part that carries the end reason.
func (a *attempt) takeEnd() *ending {
	a.assembler.End()
	if !a.assembler.Whole() {
		return &ending{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: errIncomplete}}
	}
	if err := a.session.writer.end(); err != nil {
		a.session.server.log.Debug("caller hung up before the terminal mark", zap.Error(err))
	}
	return &ending{whole: true}
}

func (a *attempt) takePart(ctx context.Context, e engine.Event) *ending {
	now := time.Now()
	m := a.session.server.metrics
	last := a.assembler.Last()
	switch a.assembler.Accept(now, e.Number) {
	case stream.Duplicate:
		m.duplicates.Inc(1)
		return nil
	case stream.Gap:
		return &ending{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: errGap}}
	}
	a.resumes = 0
	if e.Number == 0 {
		a.first = now.Sub(a.started)
		m.firstToken.RecordDuration(a.first)
	} else {
		m.interval.RecordDuration(now.Sub(last))
	}
	m.parts.Inc(1)
	if e.Finished {
		a.assembler.Finish()
	}
	if err := a.session.writer.part(e.Number, e.Data); err != nil {
		if errors.Is(err, errCallerGone) {
			return &ending{callerGone: true}
		}
		return &ending{failure: &engine.Failure{Sent: true, Status: http.StatusOK, Err: err}}
	}
	if e.Number == 0 || now.Sub(a.reported) >= progressInterval {
		a.reported = now
		a.report(ctx, message.GrantProgress, nil)
	}
	return nil
}

// mayResume reports whether the same generation may go on over a new connection.
func (a *attempt) mayResume(f *engine.Failure) bool {
	answered := f.Status != 0 && f.Status != http.StatusOK
	if f.NotRun() && a.resumes == 0 && a.assembler.Next() == 0 {
		return false
	}
	return !answered && a.resumes < maxResumes
}

// waitToResume waits before a resume; it reports false when the caller hung up.
func (a *attempt) waitToResume(caller context.Context) bool {
	a.session.server.metrics.resumes.Inc(1)
	a.resumes++
	if a.resumes == 1 {
		return caller.Err() == nil
	}
	select {
	case <-caller.Done():
		return false
	case <-time.After(resumeDelay << (a.resumes - 2)):
		return true
	}
}

// fail ends the attempt and says whether it may have run.
func (a *attempt) fail(ctx context.Context, f *engine.Failure) *verdict.Error {
	delivered := a.session.writer.started()
	switch {
	case f.NotRun() && a.assembler.Next() == 0 && a.resumes == 0:
		a.mayPlaceAgain = true
		event := message.GrantRefused
		if !f.Sent {
			event = message.GrantUnused
			if !errors.Is(f, engine.ErrTooLate) {
				event = message.GrantFailed
			}
		}
		a.report(ctx, event, f)
		return verdict.New(verdict.NotRun, verdict.ReasonEndpointFailed, "the endpoint did not take the request: %w", f).
			WithRetryAfter(retryElsewhere)
	case f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError && a.assembler.Next() == 0 && a.resumes == 0:
		a.report(ctx, message.GrantCompleted, f)
		return verdict.New(verdict.Ran, verdict.ReasonInvalid, "the endpoint answered %d: %s", f.Status, f.Body)
	}
	a.cancel(ctx, f)
	if endpointGone(f) && !a.reattached() {
		a.session.crashed(ctx, a.grant)
	}
	a.mayPlaceAgain = !delivered
	if delivered {
		return verdict.New(verdict.Ran, verdict.ReasonIncomplete, "the answer is incomplete: %w", f)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonEndpointFailed, "the endpoint failed: %w", f)
}

// reattached reports whether the generation was started by another session. Its request is not known here, and the event id
// that names it comes from the caller, so a generation that the endpoint does not know says nothing about the endpoint.
func (a *attempt) reattached() bool { return a.next > 0 }

// endpointGone reports whether a generation was lost because its endpoint died: it does not accept connections any more, or
// it has restarted and does not know the generation.
func endpointGone(f *engine.Failure) bool {
	if errors.Is(f, errStalled) || errors.Is(f, errGap) || errors.Is(f, errIncomplete) {
		return false
	}
	return f.Status == 0 || f.Status == http.StatusNotFound
}

// hangUp ends the attempt of a caller who is gone.
func (a *attempt) hangUp(ctx context.Context) *verdict.Error {
	a.cancel(ctx, nil)
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the caller hung up")
}

// cancel stops the generation at its endpoint and ends the grant. Without the endpoint's confirmation the grant counts as
// failed, so that the cell goes on charging it until a load report shows that it is gone.
func (a *attempt) cancel(ctx context.Context, f *engine.Failure) {
	cancelCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := a.session.server.Client.Cancel(cancelCtx, a.grant.Endpoint.Address, a.generation)
	if err != nil {
		a.report(ctx, message.GrantFailed, f)
		return
	}
	a.report(ctx, message.GrantCancelled, f)
}

// report tells the owner of the cell what happened to the grant.
func (a *attempt) report(ctx context.Context, event message.GrantEvent, f *engine.Failure) {
	if a.grant.Cell == "" && a.grant.Number == 0 {
		return // A reattached generation whose grant is gone.
	}
	r := message.GrantReport{
		Cell: a.grant.Cell, Fence: a.grant.Fence, Number: a.grant.Number, Event: event, Tokens: a.assembler.Next(),
		FirstToken: a.first, Elapsed: time.Since(a.started), Sent: true,
	}
	if f != nil {
		r.Sent = f.Sent || a.resumes > 0
		r.Leaving = f.Refused == engine.RefusedLeaving
		r.StaleFence = f.Refused == engine.RefusedStaleFence
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := a.session.server.Placer.Report(ctx, r); err != nil {
		a.session.server.log.Warn("grant report not delivered", zap.String("cell", r.Cell), zap.Error(err))
	}
}
