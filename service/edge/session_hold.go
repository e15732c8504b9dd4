package edge

import (
	"time"

	"azuredyke.dev/azuredyke/decision/overload"
)

const (
	// maxEnginePriority is the least urgent priority that engines distinguish.
	maxEnginePriority = 9
	// tokenTime is the expected time between two tokens of a run: a decode step of 7 ms, the share of the other runs in the batch,
	// and the chunks of prompts between the steps.
	tokenTime = 15 * time.Millisecond
)

// setHold sets the properties by which the request waits for room on the engines.
func (s *session) setHold(m *placeMessage) {
	received := s.request.Received
	hold := &overload.WaitingRequest{Priority: m.priority, Arrived: received, Deadline: s.deadline, HoldUntil: m.waitUntil}
	m.hold, m.request.Priority = hold, m.priority
	if s.workspace != nil {
		hold.Workspace = s.workspace.Name
	}
	if s.route.FirstByteObjective > 0 {
		hold.FirstEventBy = received.Add(s.route.FirstByteObjective)
		m.request.FirstEventBy = hold.FirstEventBy
	}
	if s.request.PromptTokens == 0 {
		return
	}
	m.runTime = time.Duration(s.outputEstimate()) * tokenTime
	hold.HoldUntil = overload.HoldUntil(received, s.deadline, s.route.FirstByteObjective, s.route.PauseObjective, m.runTime)
}

// outputEstimate returns the expected number of output tokens of the complete answer.
func (s *session) outputEstimate() int {
	if s.request.LengthHint == 0 {
		return s.request.MaxTokens / 2
	}
	return min(s.request.MaxTokens, s.request.LengthHint)
}
