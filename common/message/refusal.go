package message

import (
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// Refusal is the reply to a PlaceRequest when no grant was made. The request has not run.
type Refusal struct {
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
}
