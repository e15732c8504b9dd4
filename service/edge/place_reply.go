package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// placeReply answers a placeMessage.
type placeReply struct {
	placement dispatch.Placement
	refusal   dispatch.Refusal
	// retryAfter is the time after which a refused request can be served; 0 if that is not known.
	retryAfter time.Duration
}
