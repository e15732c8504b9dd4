package gateway

import (
	"context"
	"errors"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

const (
	// defaultWeight is the share of a workspace that sets none.
	defaultWeight = 1
	// replyMargin is the time beyond the queue timeout that a cell has for its refusal to arrive.
	replyMargin = 250 * time.Millisecond
)

// place asks for a grant. The second result is the time before the request for it was sent; the grant's validity counts
// from it. Every error is NotRun.
func (s *Server) place(ctx context.Context, r message.PlaceRequest) (message.Grant, time.Time, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait+replyMargin)
	defer cancel()
	if r.Weight == 0 {
		r.Weight = defaultWeight
	}
	asked := time.Now()
	reply, err := s.Placer.Place(ctx, r)
	switch {
	case errors.Is(err, context.Canceled):
		return message.Grant{}, asked, verdict.New(verdict.NotRun, verdict.ReasonCancelled, "the caller hung up")
	case err != nil:
		return message.Grant{}, asked, verdict.New(verdict.NotRun, verdict.ReasonNoOwner, "no placement: %w", err).
			WithRetryAfter(retryElsewhere)
	case reply.Grant != nil:
		return *reply.Grant, asked, nil
	}
	refusal := message.Refusal{Reason: verdict.ReasonNoOwner, Detail: "the placement was empty"}
	if reply.Refusal != nil {
		refusal = *reply.Refusal
	}
	return message.Grant{}, asked, verdict.New(verdict.NotRun, refusal.Reason, "%s", refusal.Detail).
		WithRetryAfter(max(refusal.RetryAfter, retryElsewhere))
}
