package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Guards against a run that loses its priority when it continues at another engine, and against one that states a priority
// although ordered admission is off.
func TestAttemptsStatePriority(t *testing.T) {
	s := &session{
		server: &Server{}, request: &exchange.Request{PromptTokens: 10}, route: &catalog.Route{Priority: 12},
		workspace: &catalog.Workspace{},
	}
	assert.Assert(t, !s.newAttempt(dispatch.Placement{}, sendOptions{}).HasPriority)
	s.server.orderedAdmission.Store(true)
	assert.Equal(t, s.newAttempt(dispatch.Placement{}, sendOptions{}).Priority, 9)
	s.workspace.Priority, s.workspace.HasPriority = 1, true
	a := s.newAttempt(dispatch.Placement{}, sendOptions{copyAddress: "a:1", copyHandle: "h"})
	assert.Assert(t, a.HasPriority && a.Priority == 1)
}

// Guards against a request that waits longer than its caller or than its deadline allows, and against plain calls that are held.
func TestHoldOfRequests(t *testing.T) {
	received := time.Now()
	s := &session{
		server: &Server{}, deadline: received.Add(39 * time.Second),
		request: &exchange.Request{Received: received, PromptTokens: 3079, MaxTokens: 1000, LengthHint: 752},
		route:   &catalog.Route{Priority: 2, FirstByteObjective: 4 * time.Second},
	}
	waitUntil := received.Add(500 * time.Millisecond)
	h := s.heldRequest(s.placement(), waitUntil)
	assert.Equal(t, h.HoldUntil, received.Add(16*time.Second))
	assert.Equal(t, h.FirstEventBy, received.Add(4*time.Second))
	assert.Equal(t, h.RunTime, 752*tokenTime)
	s.request.PromptTokens = 0
	assert.Equal(t, s.heldRequest(s.placement(), waitUntil).HoldUntil, waitUntil)
}
