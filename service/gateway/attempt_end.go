package gateway

import (
	"context"
	"errors"
	"net/http"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/transport/engine"
)

// fail ends the grant after a failure and returns the error with the verdict of the attempt.
func (a *attempt) fail(ctx context.Context, f *engine.Failure) *verdict.Error {
	delivered := a.session.writer.started()
	switch {
	case f.NotRun() && a.assembler.Next() == 0 && a.resumes == 0:
		a.retryable = true
		event := message.GrantRefused
		if !f.Sent {
			event = message.GrantUnused
			if !errors.Is(f, engine.ErrGrantLapsed) {
				event = message.GrantFailed
			}
		}
		a.report(ctx, event, f)
		return verdict.New(verdict.NotRun, verdict.ReasonEndpointFailed, "the endpoint did not take the request: %w", f).
			WithRetryAfter(retryElsewhereAfter)
	case f.Status >= http.StatusBadRequest && f.Status < http.StatusInternalServerError && a.assembler.Next() == 0 && a.resumes == 0:
		a.report(ctx, message.GrantCompleted, f)
		return verdict.New(verdict.Ran, verdict.ReasonInvalid, "the endpoint answered %d: %s", f.Status, f.Body)
	}
	a.cancel(ctx, f)
	if endpointGone(f) && !a.reattached() {
		a.session.reportCrash(ctx)
	}
	a.retryable = !delivered
	if delivered {
		return verdict.New(verdict.Ran, verdict.ReasonIncomplete, "the answer is incomplete: %w", f)
	}
	return verdict.New(verdict.MayHaveRun, verdict.ReasonEndpointFailed, "the endpoint failed: %w", f)
}

// reattached reports whether the generation was started by another session. This session does not have the request, and the
// generation id comes from the caller, so an unknown generation is no evidence that the endpoint crashed.
func (a *attempt) reattached() bool { return a.firstPart > 0 }

// endpointGone reports whether a generation was lost because its endpoint crashed: the endpoint refuses connections, or it
// has restarted and answers that there is no such generation.
func endpointGone(f *engine.Failure) bool {
	if errors.Is(f, errStalled) || errors.Is(f, errGap) || errors.Is(f, errIncomplete) {
		return false
	}
	return f.Status == 0 || f.Status == http.StatusNotFound
}

// cancelAfterHangUp cancels the generation of a caller who hung up.
func (a *attempt) cancelAfterHangUp(ctx context.Context) *verdict.Error {
	a.cancel(ctx, nil)
	return verdict.New(verdict.MayHaveRun, verdict.ReasonCancelled, "the caller hung up")
}

// cancel cancels the generation at its endpoint and ends the grant. Without the endpoint's confirmation the grant is reported
// as failed, so that the cell goes on charging it until a load report shows that the generation has ended.
func (a *attempt) cancel(ctx context.Context, f *engine.Failure) {
	cancelCtx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	err := a.session.server.Client.Cancel(cancelCtx, a.grant.Endpoint.Address, a.generationID)
	if err != nil {
		a.report(ctx, message.GrantFailed, f)
		return
	}
	a.report(ctx, message.GrantCancelled, f)
}
