package gateway

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/transport/engine"
)

// maxAttempts bounds the placements of one request.
const maxAttempts = 3

// session is the task of one completion request.
type session struct {
	server        *Server
	id            string
	workspaceName string
	serviceName   string
	path          string
	workspace     *config.Workspace
	service       *config.Service
	request       generationRequest
	writer        answerWriter

	// verdict is the strongest thing that an attempt did so far.
	verdict verdict.Verdict
	// exclude lists the endpoints that attempts failed on.
	exclude []string
}

// run serves the request. The caller context ends when the caller hangs up; the detached one does not.
func (s *session) run(caller, detached context.Context) *verdict.Error {
	for attempt := 1; ; attempt++ {
		grant, asked, err := s.place(caller, attempt)
		if err != nil {
			return s.end(err)
		}
		a := newAttempt(s, grant, asked, attempt)
		err = a.run(caller, detached)
		if err == nil {
			s.server.metrics.completed.Inc(1)
			return nil
		}
		s.raise(err.Verdict)
		if attempt == maxAttempts || !a.mayPlaceAgain || caller.Err() != nil {
			return s.end(err)
		}
		s.exclude = append(s.exclude, grant.Endpoint.ID)
		s.writer.restart()
		s.server.metrics.retries.Inc(1)
		s.server.log.Info("request placed again", zap.String("request", s.id),
			zap.String("endpoint", grant.Endpoint.ID), zap.Error(err))
	}
}

// place asks for a grant for the next attempt.
func (s *session) place(ctx context.Context, attempt int) (message.Grant, time.Time, *verdict.Error) {
	return s.server.place(ctx, message.PlaceRequest{
		RequestID: s.id, Attempt: attempt, Workspace: s.workspaceName, Service: s.serviceName, Model: s.request.model,
		Priority: s.workspace.Priority, Weight: s.workspace.Weight, PromptTokens: s.request.promptTokens,
		MaxTokens: s.request.maxTokens, MaxWait: s.service.QueueTimeout, Exclude: s.exclude,
	})
}

// raise keeps the strongest verdict of all attempts.
func (s *session) raise(v verdict.Verdict) {
	if s.verdict == verdict.NotRun || v == verdict.Ran {
		s.verdict = v
	}
}

// end returns the error for the caller, or nil when it was written into the stream.
func (s *session) end(err *verdict.Error) *verdict.Error {
	s.raise(err.Verdict)
	final := *err
	final.Verdict = s.verdict
	if s.writer.fail(&final) {
		s.server.metrics.refused(&final)
		return nil
	}
	return &final
}

// generationName names the generation of one attempt at its endpoint.
func (s *session) generationName(attempt int) string { return fmt.Sprintf("%s-%d", s.id, attempt) }

// startOf describes the request of one attempt.
func (s *session) startOf(g message.Grant, attempt int, asked time.Time) engine.Start {
	return engine.Start{
		Address: g.Endpoint.Address, Method: "POST", Path: s.path, Body: s.request.body,
		Header:    map[string][]string{"Content-Type": {"application/json"}},
		RequestID: s.generationName(attempt), Fence: g.Fence, Priority: s.workspace.Priority,
		Latest: asked.Add(g.StartWithin),
	}
}
