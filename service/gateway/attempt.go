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
	// reportTimeout bounds the delivery of a grant report and of the other messages at the end of a request.
	reportTimeout = 2 * time.Second
	// progressInterval is the shortest time between two reports of progress.
	progressInterval = 250 * time.Millisecond
)

// attempt runs one generation of a session on one granted endpoint.
type attempt struct {
	session     *session
	grant       message.Grant
	requestedAt time.Time
	number      int
	// generationID identifies the generation at its endpoint.
	generationID string
	// firstPart is the number of the first part that the caller lacks when the attempt starts.
	firstPart int

	assembler      *stream.Assembler
	startedAt      time.Time
	firstPartDelay time.Duration
	lastReportAt   time.Time
	resumes        int
	// retryable is set after a failure when the caller has no part yet, so that another attempt cannot mix two generations.
	retryable bool
}

func newAttempt(s *session, g message.Grant, requestedAt time.Time, number int) *attempt {
	return &attempt{
		session: s, grant: g, requestedAt: requestedAt, number: number, generationID: fmt.Sprintf("%s-%d", s.id, number),
	}
}

// run sends the request and relays its answer.
func (a *attempt) run(caller, detached context.Context) *verdict.Error {
	return a.relayGeneration(caller, detached, func(ctx context.Context) *engine.Stream {
		a.report(detached, message.GrantStarted, nil)
		return a.session.server.Client.OpenStream(ctx, a.session.endpointRequest(a))
	})
}

// reattach relays the remaining parts of a generation that another session started.
func (a *attempt) reattach(caller, detached context.Context) *verdict.Error {
	a.resumes = 1
	return a.relayGeneration(caller, detached, a.resume)
}

// resume opens a connection that delivers the parts that the caller does not have.
func (a *attempt) resume(ctx context.Context) *engine.Stream {
	return a.session.server.Client.Resume(ctx, a.grant.Endpoint.Address, a.generationID, a.assembler.Next())
}

// relayGeneration relays a generation to its end and resumes it when its connection breaks or stalls.
func (a *attempt) relayGeneration(caller, detached context.Context, open func(context.Context) *engine.Stream) *verdict.Error {
	ctx, cancel := context.WithCancel(detached)
	defer cancel()
	a.startedAt = time.Now()
	a.lastReportAt = a.startedAt
	a.assembler = stream.NewAssembler(a.startedAt, a.firstPart)
	upstream := open(ctx)
	for {
		result := a.relayConnection(caller, detached, upstream)
		if result.callerGone && a.keepDetached(detached, upstream) {
			return errDetached
		}
		upstream.Close()
		switch {
		case result.complete:
			a.report(detached, message.GrantCompleted, nil)
			return nil
		case result.callerGone:
			return a.cancelAfterHangUp(detached)
		case !a.mayResume(result.failure):
			return a.fail(detached, result.failure)
		case !a.waitToResume(caller):
			return a.cancelAfterHangUp(detached)
		}
		upstream = a.resume(ctx)
	}
}

// errDetached ends a session whose caller hung up and whose generation was taken over or completed during the resume window.
var errDetached = verdict.New(verdict.Ran, verdict.ReasonCancelled, "the caller hung up")

// keepDetached keeps a generation running for the resume window after its caller hung up, so that the caller can reattach
// to it. It returns true when the generation has completed or was taken over, and false when it must be cancelled.
func (a *attempt) keepDetached(ctx context.Context, upstream *engine.Stream) bool {
	if a.session.resumeWindow == 0 || a.assembler.Next() == 0 {
		return false
	}
	requests := make(chan takeOverRequest)
	d := a.session.server.Detached
	if !d.register(ctx, a.generationID, requests) {
		// The caller has reattached already. The new session has no grant, so the grant of this session is reported as
		// failed: the cell goes on charging it until a load report shows that the generation has ended.
		upstream.Close()
		a.report(ctx, message.GrantFailed, nil)
		return true
	}
	defer d.unregister(ctx, a.generationID)
	window := time.NewTimer(a.session.resumeWindow)
	defer window.Stop()
	for {
		select {
		case <-window.C:
			return false
		case r := <-requests:
			upstream.Close()
			r.reply <- a.grant
			return true
		case e, ok := <-upstream.Events():
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

// mayResume reports whether the generation may be resumed over a new connection after a failure.
func (a *attempt) mayResume(f *engine.Failure) bool {
	answered := f.Status != 0 && f.Status != http.StatusOK
	if f.NotRun() && a.resumes == 0 && a.assembler.Next() == 0 {
		return false
	}
	return !answered && a.resumes < maxResumes
}

// waitToResume waits for the delay before the next resume. It reports false when the caller hung up.
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

// report sends an event of the grant to the owner of its cell.
func (a *attempt) report(ctx context.Context, event message.GrantEvent, f *engine.Failure) {
	if a.grant.Cell == "" && a.grant.Number == 0 {
		return // A reattached generation whose grant could not be taken over.
	}
	r := grantReport(a.grant, event, f)
	r.Tokens, r.FirstToken, r.Elapsed = a.assembler.Next(), a.firstPartDelay, time.Since(a.startedAt)
	// A resumed generation was sent to the endpoint, even if its last connection could not be opened.
	r.Sent = r.Sent || a.resumes > 0
	a.session.server.report(ctx, r)
}
