package message

import "time"

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Status ClaimStatus
	// Outcome is set when Status is ClaimFinished.
	Outcome *ClaimOutcome
	// RetryAfter is set when Status is ClaimUnavailable.
	RetryAfter time.Duration
}
