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
	// crashCheckTimeout bounds the check whether an endpoint has ended.
	crashCheckTimeout = 300 * time.Millisecond
)

// setFingerprints computes the fingerprints by which the quarantine knows the request.
func (s *session) setFingerprints() {
	workspace := ""
	if s.workspace != nil {
		workspace = s.workspace.Name
	}
	s.fingerprints = []decision.Fingerprint{decision.RequestFingerprint(s.request.Body, workspace, s.request.Method, s.request.URL.RequestURI())}
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
// quarantine, since the request cannot be served earlier.
func (s *session) quarantineError() *verdict.Error {
	var rest time.Duration
	var cause decision.Mark
	for _, m := range s.admission.Marks() {
		if m.Standing() == decision.Quarantined && m.Remaining > rest {
			rest, cause = m.Remaining, m
		}
	}
	return verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "requests with the fingerprint %d have crashed the endpoints that ran them",
		cause.Fingerprint).WithRetryAfter(rest)
}

// reportCrash checks whether the endpoint of a broken attempt has crashed, and reports that to the
// quarantine. It returns false if the attempt broke for another reason, or if its outcome was reported before.
func (s *session) reportCrash(ctx context.Context, endpoint fleet.Endpoint) bool {
	if len(s.admission.Marks()) == 0 || ctx.Err() != nil || !s.isExpectedToServe(endpoint) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
	defer cancel()
	if !s.server.liveness.HasEnded(ctx, endpoint.Address) {
		return false
	}
	s.server.metrics.crashes.Inc(1)
	s.log(zap.WarnLevel, "endpoint crashed under a request", zap.String("endpoint", endpoint.ID),
		zap.Any("marks", s.admission.Marks()))
	s.server.quarantine.ReportCrash(ctx, s.admission)
	s.admission = quarantine.Admission{}
	return true
}

// isExpectedToServe reports whether the endpoint is still listed and not leaving. An endpoint that leaves ends as planned.
func (s *session) isExpectedToServe(endpoint fleet.Endpoint) bool {
	listed := s.server.cluster.Load().Fleet.Endpoints[s.service]
	return slices.ContainsFunc(listed, func(e fleet.Endpoint) bool { return e.SameIncarnation(&endpoint.Endpoint) && !e.Leaving })
}

// reportAnswer reports that the endpoint began its answer without a crash.
func (s *session) reportAnswer(ctx context.Context) {
	s.server.quarantine.ReportAnswer(ctx, s.admission)
	s.admission = quarantine.Admission{}
}

// releaseTrial ends a trial that had no outcome.
func (s *session) releaseTrial() {
	s.server.quarantine.Release(context.Background(), s.admission)
	s.admission = quarantine.Admission{}
}
