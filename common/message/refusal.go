package message

import (
	"time"

	"azuredyke.dev/azuredyke/common/verdict"
)

// Refusal says that no grant was made, so the request has not run.
type Refusal struct {
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
}
