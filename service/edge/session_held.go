package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/overload"
	"azuredyke.dev/azuredyke/decision/quarantine"
)

const (
	// maxEnginePriority is the least urgent priority that engines distinguish.
	maxEnginePriority = 9
	// tokenTime is the expected time between two tokens of a run: a decode step of 7 ms, the share of the other runs in the batch,
	// and the chunks of prompts between the steps.
	tokenTime = 15 * time.Millisecond
)

// heldRequest returns the request as it waits for room on the engines.
func (s *session) heldRequest(r dispatch.Request, waitUntil time.Time) *dispatch.HeldRequest {
	received, objective := s.request.Received, s.route.FirstByteObjective
	h := &dispatch.HeldRequest{Request: r, WaitUntil: waitUntil}
	h.Priority, h.Arrived, h.Deadline, h.HoldUntil = r.Priority, received, s.deadline, waitUntil
	if s.workspace != nil {
		h.Workspace = s.workspace.Name
	}
	h.FirstEventBy = r.FirstEventBy
	// A trial is not held, because its reservation ends after some seconds.
	if r.PromptTokens > 0 && s.admission.Standing == quarantine.Clear {
		h.RunTime = time.Duration(s.outputEstimate()) * tokenTime
		h.HoldUntil = overload.HoldUntil(received, s.deadline, objective, s.route.PauseObjective, h.RunTime)
	}
	return h
}

// outputEstimate returns the expected number of output tokens of the complete answer.
func (s *session) outputEstimate() int {
	if s.request.LengthHint == 0 {
		return s.request.MaxTokens / 2
	}
	return min(s.request.MaxTokens, s.request.LengthHint)
}
