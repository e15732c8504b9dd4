package edge

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/pause"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/fleet"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
)

const (
	// trialWaitDivisor divides the route's objective: a suspect waits up to half of it for the outcome of another trial.
	trialWaitDivisor = 2
	// trialPollInterval is the interval at which a waiting suspect asks again. A trial takes some hundred milliseconds.
	trialPollInterval = 50 * time.Millisecond
	// trialRetryAfter is the Retry-After time of a suspect that was refused: a trial usually has its outcome by then.
	trialRetryAfter = time.Second
	// maxQuarantineRetryAfter bounds the Retry-After time of a quarantined request. The quarantine can end long before its time: a run that
	// was in progress clears the request when it completes, and the stored marks end if no node runs for ten minutes.
	maxQuarantineRetryAfter = time.Minute
	// crashCheckTimeout bounds the check whether an endpoint has ended.
	crashCheckTimeout = 300 * time.Millisecond
	// crashReportTimeout bounds the check and the report of its result.
	crashReportTimeout = time.Second
)

// setFingerprints computes the fingerprints by which the quarantine knows the request.
func (s *session) setFingerprints() {
	workspace := ""
	if s.workspace != nil {
		workspace = s.workspace.Name
	}
	s.fingerprints = []decision.Fingerprint{decision.RequestFingerprint(s.request.Body, workspace, s.request.Method, s.request.URL.RequestURI())}
	// Later parts are in fewer requests, so they are likelier the cause of crashes that several parts could explain.
	for _, part := range slices.Backward(s.request.SharedParts) {
		s.fingerprints = append(s.fingerprints, decision.AnswerPartFingerprint(s.service, part))
	}
	for _, part := range s.request.SharedParts {
		s.fingerprints = append(s.fingerprints, decision.PartFingerprint(s.service, part))
	}
}

// awaitQuarantine waits until the quarantine lets the request run. It returns an error if the request may not run.
func (s *session) awaitQuarantine(ctx context.Context) *verdict.Error {
	s.releaseTrial()
	until := s.request.Received.Add(s.route.FirstByteObjective / trialWaitDivisor)
	for {
		if time.Now().After(until) || !s.server.quarantine.Assess(s.fingerprints).IsAmbiguous() {
			s.admission = s.server.quarantine.Admit(ctx, s.fingerprints)
			switch s.admission.Standing {
			case decision.Clear:
				return nil
			case decision.Suspect:
				s.log(zap.InfoLevel, "request runs as a trial", zap.Any("marks", s.admission.Marks()))
				return nil
			case decision.Quarantined:
				return s.quarantineError()
			}
		}
		if !time.Now().Before(until) || !pause.Sleep(ctx, trialPollInterval) {
			return verdict.New(verdict.NotRun, verdict.ReasonQuarantined,
				"the request may have crashed an endpoint; another trial is in progress").WithRetryAfter(trialRetryAfter)
		}
	}
}

// quarantineError returns the error for a request with a quarantined fingerprint. Its Retry-After time is the rest of the
// quarantine, up to maxQuarantineRetryAfter.
func (s *session) quarantineError() *verdict.Error {
	var rest time.Duration
	var cause decision.Mark
	for _, m := range s.admission.Marks() {
		if m.Standing() == decision.Quarantined && m.Remaining > rest {
			rest, cause = m.Remaining, m
		}
	}
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "requests with the fingerprint %d have crashed the endpoints that ran them",
		cause.Fingerprint).WithRetryAfter(min(rest, maxQuarantineRetryAfter))
}

// reportCrash checks whether the endpoint of an attempt that broke before its answer began has crashed, and reports that to the
// quarantine. It returns false if the attempt broke for another reason, or if its outcome was reported before.
func (s *session) reportCrash(ctx context.Context, endpoint fleet.Endpoint) bool {
	if !s.isCrashEvidence(ctx, endpoint) || !s.server.hasCrashed(ctx, s.request.ID, s.fingerprints, endpoint) {
		return false
	}
	s.server.quarantine.ReportCrash(ctx, s.admission)
	s.admission = quarantine.Admission{}
	return true
}

// mayContinueAfterBreak checks whether the endpoint of an attempt that broke after its answer began has crashed, reports that to
// the quarantine, and returns whether the run may continue at another endpoint. begun is false if the run was to go on at that endpoint and
// broke before it did.
func (s *session) mayContinueAfterBreak(ctx context.Context, endpoint fleet.Endpoint, begun bool) bool {
	s.awaitCrashCheck()
	s.beginCrashCheck(ctx, endpoint, begun)
	if s.runStanding() == decision.Clear {
		// One crash does not stop a run, so the caller does not wait for the check.
		return true
	}
	s.awaitCrashCheck()
	return s.runStanding() != decision.Quarantined
}

// beginCrashCheck starts to check whether the endpoint of an attempt that broke after its answer began has crashed. The check
// outlives the request, whose caller may come again. A run that was to go on at the endpoint and has not begun there says nothing about the
// parts of its prompt: endpoints that fail together break a run at each of them.
func (s *session) beginCrashCheck(ctx context.Context, endpoint fleet.Endpoint, begun bool) {
	check := newCrashCheck()
	s.check = check
	if !s.isCrashEvidence(ctx, endpoint) {
		close(check.done)
		return
	}
	server, request, fingerprints, admission := s.server, s.request.ID, s.fingerprints, s.admission
	if !begun {
		admission = admission.WithoutAnswerParts()
	}
	go func() {
		defer close(check.done)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashReportTimeout)
		defer cancel()
		if check.crashed = server.hasCrashed(ctx, request, fingerprints, endpoint); check.crashed {
			server.quarantine.ReportLateCrash(ctx, admission)
		}
	}()
}

// awaitCrashCheck waits for the check that was begun last. After a crash, the next one counts with the marks of the request at
// that time.
func (s *session) awaitCrashCheck() {
	if s.check == nil {
		return
	}
	<-s.check.done
	if s.check.crashed {
		s.admission = s.server.quarantine.Continue(s.fingerprints)
	}
	s.check = nil
}

// runStanding returns the standing of a run that has begun its answer, which depends on the request as a whole and its answer parts.
func (s *session) runStanding() decision.Standing {
	return s.server.quarantine.Assess(s.fingerprints[:1+len(s.request.SharedParts)]).Standing
}

// isCrashEvidence reports whether a crash of the endpoint would be evidence against the request.
func (s *session) isCrashEvidence(ctx context.Context, endpoint fleet.Endpoint) bool {
	return len(s.admission.Marks()) > 0 && ctx.Err() == nil && s.isExpectedToServe(endpoint)
}

// isExpectedToServe reports whether the endpoint is still listed and not leaving. An endpoint that leaves ends as planned.
func (s *session) isExpectedToServe(endpoint fleet.Endpoint) bool {
	listed := s.server.cluster.Load().Fleet.Endpoints[s.service]
	return slices.ContainsFunc(listed, func(e fleet.Endpoint) bool { return e.SameIncarnation(&endpoint.Endpoint) && !e.Leaving })
}

// reportBegun reports that the endpoint began its answer without a crash.
func (s *session) reportBegun(ctx context.Context) { s.server.quarantine.ReportBegun(ctx, s.admission) }

// reportAnswer reports that the endpoint completed its answer without a crash.
func (s *session) reportAnswer(ctx context.Context) {
	s.server.quarantine.ReportAnswer(ctx, s.admission)
	s.admission = quarantine.Admission{}
}

// releaseTrial ends a trial that had no outcome.
func (s *session) releaseTrial() {
	s.server.quarantine.Release(context.Background(), s.admission)
	s.admission = quarantine.Admission{}
}
