package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	decision "azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/quarantine"
	"azuredyke.dev/azuredyke/service/retries"
	"azuredyke.dev/azuredyke/transport/engine"
)

const (
	// maxAttempts bounds the placements of one request.
	maxAttempts = 3
	// crashReportTimeout bounds the wait until the other nodes have received a crash report.
	crashReportTimeout = time.Second
)

// callerRequest is the common part of completion requests and plain calls: the workspace, the service and the state of the
// attempts.
type callerRequest struct {
	server        *Server
	id            string
	workspaceName string
	workspace     *config.Workspace
	serviceName   string
	service       *config.Service
	fingerprint   decision.Fingerprint

	// verdict is the strongest verdict of the attempts so far.
	verdict verdict.Verdict
	// exclude lists the ids of the endpoints on which attempts failed.
	exclude []string
	// alone is set while the request runs as a suspect of the quarantine, alone on its endpoint.
	alone bool
	// admission is that of the latest attempt.
	admission quarantine.Admission
}

// newCallerRequest returns a request without attempts.
func (s *Server) newCallerRequest(snapshot *config.Snapshot, workspace, service string) callerRequest {
	return callerRequest{
		server: s, id: newRequestID(), workspaceName: workspace, workspace: workspaceOrDefault(snapshot.Workspace(workspace)),
		serviceName: service, service: snapshot.Service(service), verdict: verdict.NotRun,
	}
}

// admit checks the request against the limits of its workspace. An admitted request must be ended with release.
func (c *callerRequest) admit(ctx context.Context, promptTokens int) *verdict.Error {
	d, err := c.server.Limiter.Admit(ctx, c.workspaceName, promptTokens)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "not admitted: %w", err)
	}
	if !d.Admitted {
		return verdict.New(verdict.NotRun, verdict.ReasonLimit, "workspace %q is at its limit %s", c.workspaceName, d.Limit).
			WithRetryAfter(max(d.RetryAfter, time.Second))
	}
	return nil
}

// release records the end of an admitted request in the limits of its workspace.
func (c *callerRequest) release(ctx context.Context, outputTokens int) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := c.server.Limiter.Release(ctx, c.workspaceName, outputTokens); err != nil {
		c.server.log.Warn("end of a request not recorded in its workspace's limits", zap.Error(err))
	}
}

// requestGrant checks the quarantine and requests a grant. The second result is the time from which the validity of the grant
// counts.
func (c *callerRequest) requestGrant(ctx context.Context, r message.PlaceRequest) (message.Grant, time.Time, *verdict.Error) {
	c.admission = c.server.Quarantine.Admit(ctx, []decision.Fingerprint{c.fingerprint})
	switch c.admission.Standing {
	case decision.Quarantined:
		return message.Grant{}, time.Time{}, verdict.New(verdict.NotRun, verdict.ReasonQuarantined,
			"this request has crashed the endpoints that ran it")
	case decision.Busy:
		return message.Grant{}, time.Time{}, verdict.New(verdict.NotRun, verdict.ReasonBusy,
			"this request may have crashed an endpoint and is being tried alone").WithRetryAfter(retryElsewhereAfter)
	case decision.Suspect:
		c.alone = true
	}
	r.RequestID, r.Workspace, r.Service = c.id, c.workspaceName, c.serviceName
	r.Priority, r.Weight, r.MaxWait = c.workspace.Priority, c.workspace.Weight, c.service.QueueTimeout
	r.Exclude, r.Alone = c.exclude, c.alone
	grant, requestedAt, err := c.server.place(ctx, r)
	if err != nil {
		c.finishSuspectRun(ctx, false)
	}
	return grant, requestedAt, err
}

// finishSuspectRun ends the reserved run of a suspect. It does nothing for other requests.
func (c *callerRequest) finishSuspectRun(ctx context.Context, completed bool) {
	if !c.alone {
		return
	}
	c.alone = false
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	if completed {
		c.server.Quarantine.ReportAnswer(ctx, c.admission)
		return
	}
	c.server.Quarantine.Release(ctx, c.admission)
}

// reportCrash reports to all nodes that an endpoint crashed while it ran the request.
func (c *callerRequest) reportCrash(ctx context.Context) {
	c.alone = false
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	c.server.Quarantine.ReportCrash(ctx, c.admission)
}

// mayRetry reports whether another attempt is allowed after one that failed on the given endpoint, and excludes the endpoint
// from it. A grant that lapsed unused does not exclude its endpoint.
func (c *callerRequest) mayRetry(ctx context.Context, attempt int, endpoint string, cause error) bool {
	if attempt >= maxAttempts || ctx.Err() != nil || !c.server.Retries.Allow(ctx, c.retryKey()) {
		return false
	}
	if !errors.Is(cause, engine.ErrGrantLapsed) {
		c.exclude = append(c.exclude, endpoint)
	}
	c.server.metrics.retries.Inc(1)
	return true
}

func (c *callerRequest) retryKey() retries.Key {
	return retries.Key{Service: c.serviceName, Workspace: c.workspaceName}
}

// recordSuccess counts a complete answer in the metrics and the retry budget.
func (c *callerRequest) recordSuccess() {
	c.server.metrics.completed.Inc(1)
	c.server.Retries.RecordSuccess(c.retryKey())
}

// raiseVerdict sets the verdict of the request to v if v is stronger.
func (c *callerRequest) raiseVerdict(v verdict.Verdict) {
	if c.verdict == verdict.NotRun || v == verdict.Ran {
		c.verdict = v
	}
}

// finalError returns err with the strongest verdict of all attempts.
func (c *callerRequest) finalError(err *verdict.Error) *verdict.Error {
	c.raiseVerdict(err.Verdict)
	final := *err
	final.Verdict = c.verdict
	return &final
}
