package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/transport/engine"
)

// plainCall is one request to a plain service. It runs in the goroutine of the caller's request.
type plainCall struct {
	callerRequest
	method         string
	path           string
	query          string
	header         http.Header
	body           []byte
	repeatable     bool
	idempotencyKey string
	// requestHash distinguishes different requests with the same idempotency key.
	requestHash uint64
}

// run returns the answer of the service. A request that may not be repeated is claimed first if it has an idempotency key.
func (c *plainCall) run(caller, detached context.Context) (engine.Answer, *verdict.Error) {
	if err := c.admit(caller, 0); err != nil {
		return engine.Answer{}, err
	}
	defer c.release(detached, 0)
	if c.repeatable {
		return c.runAttempts(caller, detached)
	}
	if c.idempotencyKey == "" {
		if c.service.RequireIdempotencyKey {
			return engine.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonKeyRequired,
				"this request needs the header %s", headerIdempotencyKey).WithField(headerIdempotencyKey)
		}
		return c.runAttempts(caller, detached)
	}
	return c.runClaimed(caller, detached)
}

// runAttempts places and sends the request. A request that may not be repeated is only retried while it has certainly not
// run.
func (c *plainCall) runAttempts(caller, detached context.Context) (engine.Answer, *verdict.Error) {
	for attempt := 1; ; attempt++ {
		grant, requestedAt, err := c.requestGrant(caller, message.PlaceRequest{Attempt: attempt})
		if err != nil {
			return engine.Answer{}, c.finalError(err)
		}
		answer, err := c.send(caller, detached, grant, requestedAt, attempt)
		if err == nil {
			c.finishSuspectRun(detached, true)
			c.recordSuccess()
			return answer, nil
		}
		c.finishSuspectRun(detached, false)
		c.raiseVerdict(err.Verdict)
		repeatAllowed := err.Verdict == verdict.NotRun || c.repeatable
		if !repeatAllowed || !c.mayRetry(caller, attempt, grant.Endpoint.ID, err) {
			return engine.Answer{}, c.finalError(err)
		}
	}
}

// send makes one attempt on a granted endpoint.
func (c *plainCall) send(
	caller, detached context.Context, g message.Grant, requestedAt time.Time, attempt int,
) (engine.Answer, *verdict.Error) {
	ctx := caller
	if !c.repeatable {
		// The outcome must be known and recorded even if the caller hangs up.
		ctx = detached
	}
	ctx, cancel := context.WithTimeout(ctx, plainTimeout)
	defer cancel()
	started := time.Now()
	c.report(detached, g, message.GrantStarted, 0, nil)
	answer, err := c.server.Client.Call(ctx, engine.Request{
		Address: g.Endpoint.Address, Method: c.method, Path: pathWithQuery(c.path, c.query), Body: c.body,
		Header: c.header, RequestID: fmt.Sprintf("%s-%d", c.id, attempt), Fence: g.Fence,
		Priority: c.workspace.Priority, SendDeadline: requestedAt.Add(g.StartWithin),
	})
	elapsed := time.Since(started)
	if err == nil {
		c.report(detached, g, message.GrantCompleted, elapsed, nil)
		return answer, nil
	}
	f := failureOf(err)
	switch {
	case f.Refused != "":
		c.report(detached, g, message.GrantRefused, elapsed, f)
	case errors.Is(f, engine.ErrGrantLapsed):
		c.report(detached, g, message.GrantUnused, elapsed, f)
	default:
		c.report(detached, g, message.GrantFailed, elapsed, f)
	}
	if f.NotRun() {
		return engine.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonEndpointFailed,
			"the endpoint did not take the request: %w", f).WithRetryAfter(retryElsewhereAfter)
	}
	if ctx.Err() == nil {
		// The connection broke without an answer while the request was running, so the endpoint may have crashed.
		c.reportCrash(detached)
	}
	return engine.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ReasonEndpointFailed, "the endpoint failed: %w", f)
}

// report sends an event of a grant to the owner of its cell.
func (c *plainCall) report(
	ctx context.Context, g message.Grant, event message.GrantEvent, elapsed time.Duration, f *engine.Failure,
) {
	r := grantReport(g, event, f)
	r.Elapsed = elapsed
	c.server.report(ctx, r)
}

// plainTimeout bounds one call to a plain service.
const plainTimeout = 30 * time.Second

func pathWithQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}
