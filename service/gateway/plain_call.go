package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/transport/engine"
)

// plainCall is one request to a plain service. It runs in the goroutine of the caller's request.
type plainCall struct {
	server        *Server
	id            string
	workspaceName string
	serviceName   string
	workspace     *config.Workspace
	service       *config.Service
	method        string
	path          string
	query         string
	header        http.Header
	body          []byte
	repeatable    bool
	key           string

	verdict verdict.Verdict
	exclude []string
}

// run returns the answer of the service, claiming the request first if it may not be repeated.
func (c *plainCall) run(caller, detached context.Context) (engine.Answer, *verdict.Error) {
	c.verdict = verdict.NotRun
	if c.repeatable {
		return c.attempts(caller, detached)
	}
	if c.key == "" {
		if c.service.RequireIdempotencyKey {
			return engine.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonKeyRequired,
				"this request needs the header %s", headerIdempotencyKey).WithField(headerIdempotencyKey)
		}
		return c.attempts(caller, detached)
	}
	return c.claimed(caller, detached)
}

// attempts places and sends the request. A request that may not be repeated is only placed again while it certainly has
// not run.
func (c *plainCall) attempts(caller, detached context.Context) (engine.Answer, *verdict.Error) {
	for attempt := 1; ; attempt++ {
		grant, asked, err := c.place(caller, attempt)
		if err != nil {
			return engine.Answer{}, c.final(err)
		}
		answer, err := c.send(caller, detached, grant, asked, attempt)
		if err == nil {
			c.server.metrics.completed.Inc(1)
			return answer, nil
		}
		if err.Verdict != verdict.NotRun {
			c.verdict = err.Verdict
		}
		again := err.Verdict == verdict.NotRun || c.repeatable
		if !again || attempt == maxAttempts || caller.Err() != nil {
			return engine.Answer{}, c.final(err)
		}
		c.exclude = append(c.exclude, grant.Endpoint.ID)
		c.server.metrics.retries.Inc(1)
	}
}

// final returns an error with the verdict over all attempts.
func (c *plainCall) final(err *verdict.Error) *verdict.Error {
	out := *err
	if out.Verdict == verdict.NotRun {
		out.Verdict = c.verdict
	}
	return &out
}

func (c *plainCall) place(ctx context.Context, attempt int) (message.Grant, time.Time, *verdict.Error) {
	return c.server.place(ctx, message.PlaceRequest{
		RequestID: c.id, Attempt: attempt, Workspace: c.workspaceName, Service: c.serviceName,
		Priority: c.workspace.Priority, Weight: c.workspace.Weight, MaxWait: c.service.QueueTimeout, Exclude: c.exclude,
	})
}

// send makes one attempt on a granted endpoint.
func (c *plainCall) send(caller, detached context.Context, g message.Grant, asked time.Time, attempt int) (engine.Answer, *verdict.Error) {
	ctx := caller
	if !c.repeatable {
		// The outcome must be known and recorded even if the caller hangs up.
		ctx = detached
	}
	ctx, cancel := context.WithTimeout(ctx, plainTimeout)
	defer cancel()
	started := time.Now()
	answer, err := c.server.client.Call(ctx, engine.Start{
		Address: g.Endpoint.Address, Method: c.method, Path: pathWithQuery(c.path, c.query), Body: c.body,
		Header: c.header, RequestID: fmt.Sprintf("%s-%d", c.id, attempt), Fence: g.Fence,
		Priority: c.workspace.Priority, Latest: asked.Add(g.StartWithin),
	})
	elapsed := time.Since(started)
	if err == nil {
		c.server.endGrant(detached, g, message.GrantCompleted, elapsed, nil)
		return answer, nil
	}
	f := failureOf(err)
	switch {
	case f.Refused != "":
		c.server.endGrant(detached, g, message.GrantRefused, elapsed, f)
	case errors.Is(f, engine.ErrTooLate):
		c.server.endGrant(detached, g, message.GrantUnused, elapsed, f)
	default:
		c.server.endGrant(detached, g, message.GrantFailed, elapsed, f)
	}
	if f.NotRun() {
		return engine.Answer{}, verdict.New(verdict.NotRun, verdict.ReasonEndpointFailed,
			"the endpoint did not take the request: %w", f).WithRetryAfter(retryElsewhere)
	}
	return engine.Answer{}, verdict.New(verdict.MayHaveRun, verdict.ReasonEndpointFailed, "the endpoint failed: %w", f)
}

// plainTimeout bounds one call of a plain service.
const plainTimeout = 30 * time.Second

func pathWithQuery(path, query string) string {
	if query == "" {
		return path
	}
	return path + "?" + query
}
