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
	work
	path    string
	request generationRequest
	writer  answerWriter
	// window is how long the stream goes on after its caller hung up.
	window time.Duration
	// delivered counts the parts of the last attempt.
	delivered int
}

// run serves the request. The caller context ends when the caller hangs up; the detached one does not.
func (s *session) run(caller, detached context.Context) *verdict.Error {
	if err := s.start(caller, s.request.promptTokens); err != nil {
		return err
	}
	defer func() { s.end(detached, s.delivered) }()
	for attempt := 1; ; attempt++ {
		grant, asked, err := s.placeNext(caller, message.PlaceRequest{
			Attempt: attempt, Model: s.request.model, PromptTokens: s.request.promptTokens,
			MaxTokens: s.request.maxTokens, PrefixHashes: s.request.prefixHashes,
		})
		if err != nil {
			return s.fail(err)
		}
		a := newAttempt(s, grant, asked, attempt)
		s.writer.begin(newStreamPosition(a.generation, s.workspaceName, grant.Endpoint.ID, s.server.options.NodeID))
		err = a.run(caller, detached)
		s.delivered = a.assembler.Next()
		if err == nil {
			s.settleSuspect(detached, true)
			s.succeeded()
			return nil
		}
		s.settleSuspect(detached, false)
		s.raise(err.Verdict)
		if !a.mayPlaceAgain || !s.mayRetry(caller, attempt, grant.Endpoint.ID, err) {
			return s.fail(err)
		}
		s.server.log.Info("request placed again", zap.String("request", s.id),
			zap.String("endpoint", grant.Endpoint.ID), zap.Error(err))
	}
}

// fail ends the answer with an error; nil means that the error was written into the stream.
func (s *session) fail(err *verdict.Error) *verdict.Error {
	final := s.final(err)
	if s.writer.fail(final) {
		s.server.metrics.refused(final)
		return nil
	}
	return final
}

// startOf describes the request of one attempt.
func (s *session) startOf(a *attempt) engine.Start {
	return engine.Start{
		Address: a.grant.Endpoint.Address, Method: http.MethodPost, Path: s.path, Body: s.request.body,
		Header:    http.Header{"Content-Type": {"application/json"}},
		RequestID: a.generation, Fence: a.grant.Fence, Priority: s.workspace.Priority,
		Latest: a.asked.Add(a.grant.StartWithin),
	}
}
