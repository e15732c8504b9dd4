package gateway

import (
	"context"

	"azuredyke.dev/azuredyke/common/message"
)

// Claimer records the idempotency keys of requests that may not be repeated.
type Claimer interface {
	// Claim returns once the claim is durable or refused. After an error the request must not be sent.
	Claim(ctx context.Context, r message.ClaimRequest) (message.ClaimReply, error)
	// Settle records the outcome of a claim, or releases it. It does not wait for the record to be durable.
	Settle(ctx context.Context, s message.ClaimSettle) error
}
