package gateway

import (
	"context"
	"errors"
	"net/http"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/transport/engine"
)

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
