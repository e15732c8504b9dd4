package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/config"
	"azuredyke.dev/azuredyke/decision/quarantine"
	"azuredyke.dev/azuredyke/service/retries"
	"azuredyke.dev/azuredyke/transport/engine"
)

const (
	// maxAttempts bounds the placements of one request.
	maxAttempts = 3
	// crashReportTimeout bounds the wait until the other nodes know about a crash.
	crashReportTimeout = time.Second
)

// work is what all requests have in common, whatever they ask for: whose they are, which limits hold and what became of
// their attempts.
type work struct {
	server        *Server
	id            string
	workspaceName string
	workspace     *config.Workspace
	serviceName   string
	service       *config.Service
	fingerprint   quarantine.Fingerprint

	// verdict is the strongest thing that an attempt did so far.
	verdict verdict.Verdict
	// exclude lists the endpoints that attempts failed on.
	exclude []string
	// alone is set while the request runs as a suspect.
	alone bool
}

// newWork returns the work of a request that no attempt was made for.
func (s *Server) newWork(snapshot *config.Snapshot, workspace, service string) work {
	return work{
		server: s, id: newRequestID(), workspaceName: workspace, workspace: orDefault(snapshot.Workspace(workspace)),
		serviceName: service, service: snapshot.Service(service), verdict: verdict.NotRun,
	}
}

// fingerprintOf hashes what a request asks for.
func fingerprintOf(body []byte, parts ...string) uint64 {
	h := xxh3.New()
	for _, part := range parts {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// start admits the request by the limits of its workspace. An admitted request must be ended.
func (w *work) start(ctx context.Context, promptTokens int) *verdict.Error {
	d, err := w.server.Limiter.Start(ctx, w.workspaceName, promptTokens)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonCancelled, "not admitted: %w", err)
	}
	if !d.Admitted {
		return verdict.New(verdict.NotRun, verdict.ReasonLimit, "workspace %q is at its limit %s", w.workspaceName, d.Limit).
			WithRetryAfter(max(d.RetryAfter, time.Second))
	}
	return nil
}

// end releases what start admitted.
func (w *work) end(ctx context.Context, outputTokens int) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if err := w.server.Limiter.End(ctx, w.workspaceName, outputTokens); err != nil {
		w.server.log.Warn("end of a request not recorded in its workspace's limits", zap.Error(err))
	}
}

// placeNext checks the standing of the request and asks for a grant. The second result is the time from which the grant's
// validity counts.
func (w *work) placeNext(ctx context.Context, r message.PlaceRequest) (message.Grant, time.Time, *verdict.Error) {
	switch w.server.Quarantine.Standing(ctx, w.fingerprint) {
	case quarantine.Quarantined:
		return message.Grant{}, time.Time{}, verdict.New(verdict.NotRun, verdict.ReasonQuarantined,
			"this request has crashed the endpoints that ran it")
	case quarantine.Busy:
		return message.Grant{}, time.Time{}, verdict.New(verdict.NotRun, verdict.ReasonBusy,
			"this request may have crashed an endpoint and is being tried alone").WithRetryAfter(retryElsewhere)
	case quarantine.Suspect:
		w.alone = true
	}
	r.RequestID, r.Workspace, r.Service = w.id, w.workspaceName, w.serviceName
	r.Priority, r.Weight, r.MaxWait = w.workspace.Priority, w.workspace.Weight, w.service.QueueTimeout
	r.Exclude, r.Alone = w.exclude, w.alone
	grant, asked, err := w.server.place(ctx, r)
	if err != nil {
		w.settleSuspect(ctx, false)
	}
	return grant, asked, err
}

// settleSuspect ends the reserved run of a suspect.
func (w *work) settleSuspect(ctx context.Context, completed bool) {
	if !w.alone {
		return
	}
	w.alone = false
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
	defer cancel()
	w.server.Quarantine.Finished(ctx, w.fingerprint, completed)
}

// crashed tells all nodes that an endpoint crashed while it ran the request.
func (w *work) crashed(ctx context.Context, g message.Grant) {
	w.alone = false
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	id := quarantine.CrashID(g.Endpoint.ID + "/" + g.Incarnation)
	w.server.Quarantine.Crashed(ctx, w.fingerprint, id)
}

// mayRetry reports whether another attempt is allowed after one that failed on the given endpoint. A grant that lapsed says
// nothing about its endpoint.
func (w *work) mayRetry(ctx context.Context, attempt int, endpoint string, cause error) bool {
	if attempt >= maxAttempts || ctx.Err() != nil || !w.server.Retries.Allow(ctx, w.budget()) {
		return false
	}
	if !errors.Is(cause, engine.ErrTooLate) {
		w.exclude = append(w.exclude, endpoint)
	}
	w.server.metrics.retries.Inc(1)
	return true
}

func (w *work) budget() retries.Key {
	return retries.Key{Service: w.serviceName, Workspace: w.workspaceName}
}

// succeeded counts a whole answer.
func (w *work) succeeded() {
	w.server.metrics.completed.Inc(1)
	w.server.Retries.Succeeded(w.budget())
}

// raise keeps the strongest verdict of all attempts.
func (w *work) raise(v verdict.Verdict) {
	if w.verdict == verdict.NotRun || v == verdict.Ran {
		w.verdict = v
	}
}

// final returns the error for the caller, with the verdict over all attempts.
func (w *work) final(err *verdict.Error) *verdict.Error {
	w.raise(err.Verdict)
	final := *err
	final.Verdict = w.verdict
	return &final
}
