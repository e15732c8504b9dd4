// Package claims records requests that may not be repeated, so that each runs at most once.
package claims

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// Unavailable refuses every claim, for nodes without a key-value service that can be written.
type Unavailable struct{}

// retryAfter is the advice to callers whose claim was refused.
const retryAfter = 5 * time.Second

// Claim refuses the claim.
func (Unavailable) Claim(context.Context, message.ClaimRequest) (message.ClaimReply, error) {
	return message.ClaimReply{Status: message.ClaimUnavailable, RetryAfter: retryAfter}, nil
}

// Settle has nothing to settle.
func (Unavailable) Settle(context.Context, message.ClaimSettle) error { return nil }
