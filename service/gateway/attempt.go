package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

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

// report tells the owner of the cell what happened to the grant.
func (a *attempt) report(ctx context.Context, event message.GrantEvent, f *engine.Failure) {
	if a.grant.Cell == "" && a.grant.Number == 0 {
		return // A reattached generation whose grant is gone.
	}
	r := grantReport(a.grant, event, f)
	r.Tokens, r.FirstToken, r.Elapsed = a.assembler.Next(), a.first, time.Since(a.started)
	// A generation that was resumed has certainly been sent, whatever became of its last connection.
	r.Sent = r.Sent || a.resumes > 0
	a.session.server.report(ctx, r)
}
