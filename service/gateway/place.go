package gateway

import (
	"context"
	"errors"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

const (
	// defaultWeight is the weight of a workspace whose configuration sets none.
	defaultWeight = 1
	// replyMargin is added to the queue timeout, so that a refusal at that timeout still arrives.
	replyMargin = 250 * time.Millisecond
)

// place requests a grant. The second result is the time just before the request was sent, from which the validity of the
// grant counts. Every error has the verdict NotRun.
func (s *Server) place(ctx context.Context, r message.PlaceRequest) (message.Grant, time.Time, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait+replyMargin)
	defer cancel()
	if r.Weight == 0 {
		r.Weight = defaultWeight
	}
	requestedAt := time.Now()
	reply, err := s.Placer.Place(ctx, r)
	switch {
	case errors.Is(err, context.Canceled):
		return message.Grant{}, requestedAt, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the caller hung up")
	case err != nil:
		return message.Grant{}, requestedAt, verdict.New(verdict.NotRun, verdict.ReasonNoOwner, "no placement: %w", err).
			WithRetryAfter(retryElsewhereAfter)
	case reply.Grant != nil:
		return *reply.Grant, requestedAt, nil
	}
	refusal := message.Refusal{Reason: verdict.ReasonNoOwner, Detail: "the placement was empty"}
	if reply.Refusal != nil {
		refusal = *reply.Refusal
	}
	return message.Grant{}, requestedAt, verdict.New(verdict.NotRun, refusal.Reason, "%s", refusal.Detail).
		WithRetryAfter(max(refusal.RetryAfter, retryElsewhereAfter))
}
