package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/transport/engine"
)

// session is the task of one completion request. It runs in the goroutine of the caller's request.
type session struct {
	callerRequest
	path    string
	request generationRequest
	writer  answerWriter
	// resumeWindow is the time for which the generation goes on after the caller hung up.
	resumeWindow time.Duration
	// deliveredParts is the number of parts of the last attempt, for the token limit of the workspace.
	deliveredParts int
}

// run serves the request. The context caller ends when the caller hangs up; detached does not.
func (s *session) run(caller, detached context.Context) *verdict.Error {
	if err := s.admit(caller, s.request.promptTokens); err != nil {
		return err
	}
	defer func() { s.release(detached, s.deliveredParts) }()
	for attempt := 1; ; attempt++ {
		grant, requestedAt, err := s.requestGrant(caller, message.PlaceRequest{
			Attempt: attempt, Model: s.request.model, PromptTokens: s.request.promptTokens,
			MaxTokens: s.request.maxTokens, PrefixHashes: s.request.prefixHashes,
		})
		if err != nil {
			return s.fail(err)
		}
		a := newAttempt(s, grant, requestedAt, attempt)
		s.writer.begin(newStreamPosition(a.generationID, s.workspaceName, grant.Endpoint.ID, s.server.options.NodeID))
		err = a.run(caller, detached)
		s.deliveredParts = a.assembler.Next()
		if err == nil {
			s.finishSuspectRun(detached, true)
			s.recordSuccess()
			return nil
		}
		s.finishSuspectRun(detached, false)
		s.raiseVerdict(err.Verdict)
		if !a.retryable || !s.mayRetry(caller, attempt, grant.Endpoint.ID, err) {
			return s.fail(err)
		}
		s.server.log.Info("placing the request again after a failed attempt", zap.String("request", s.id),
			zap.String("endpoint", grant.Endpoint.ID), zap.Error(err))
	}
}

// fail ends the answer with an error. It returns nil when the error was written into the stream.
func (s *session) fail(err *verdict.Error) *verdict.Error {
	final := s.finalError(err)
	if s.writer.fail(final) {
		s.server.metrics.countError(final)
		return nil
	}
	return final
}

// endpointRequest returns the request that an attempt sends to its endpoint.
func (s *session) endpointRequest(a *attempt) engine.Request {
	return engine.Request{
		Address: a.grant.Endpoint.Address, Method: http.MethodPost, Path: s.path, Body: s.request.body,
		Header:    http.Header{"Content-Type": {"application/json"}},
		RequestID: a.generationID, Fence: a.grant.Fence, Priority: s.workspace.Priority,
		SendDeadline: a.requestedAt.Add(a.grant.StartWithin),
	}
}
