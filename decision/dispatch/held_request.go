package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

// HeldRequest is a request that may wait at the node until an engine has room.
type HeldRequest struct {
	overload.WaitingRequest
	Request Request
	// WaitUntil is the end of the wait for other reasons than lack of room.
	WaitUntil time.Time
	// RunTime is the expected time of the run.
	RunTime time.Duration
	// HeldSince is the time at which the request was offered.
	HeldSince time.Time
	// hasWaited is set once the request was considered and had to wait.
	hasWaited bool
}

// shape returns what the request needs of an engine.
func (h *HeldRequest) shape(now time.Time, share overload.FairShare) overload.Shape {
	return overload.Shape{
		Service: h.Request.Service, Rank: h.Rank(now, share), Long: h.Request.isLong(), Late: h.IsLate(now), Aged: h.IsAged(now),
		FirstEventBy: h.Request.FirstEventBy,
		Tokens:       h.Request.Tokens, PromptTokens: h.Request.PromptTokens,
	}
}

// refusedUntil returns the end of the wait after a refusal.
func (h *HeldRequest) refusedUntil(refusal Refusal) time.Time {
	switch refusal {
	case AllEndpointsFull, AllEndpointsCold, LeftToOthers:
		return h.HoldUntil
	default:
		return h.WaitUntil
	}
}
