package edge

import (
	"time"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/decision/dispatch"
	decision "azuredyke.dev/azuredyke/decision/rollout"
	"azuredyke.dev/azuredyke/service/rollout"
)

// earlySampleTime is the time after the first event at which the times of a stream are reported, before its end. Long streams
// outlast a short roll-out, and what they show would come too late.
const earlySampleTime = time.Second

// rolloutRecord reports one attempt for the counts of a roll-out. A nil record reports nothing.
type rolloutRecord struct {
	counts  rollout.Outcomes
	server  *Server
	run     dispatch.RolloutRun
	service string
	route   string
	// dataCentre is the data centre of the endpoint.
	dataCentre string
	// continues is set if the attempt continues a run, whose time to the first event is no measure.
	continues bool

	sentAt, firstAt, lastAt time.Time
	events                  int
	// sampled is set once the times were reported.
	sampled bool
}

// newRolloutRecord returns the record of an attempt; nil if there is no order for the service.
func (s *session) newRolloutRecord(p dispatch.Placement, o sendOptions) *rolloutRecord {
	if s.server.rollouts == nil || p.Rollout == nil {
		return nil
	}
	return &rolloutRecord{
		counts: s.server.rollouts, server: s.server, run: *p.Rollout, service: s.service, route: s.route.Name,
		dataCentre: p.Endpoint.DataCentre, continues: o.continues(),
	}
}

// sent records that the request is sent.
func (r *rolloutRecord) sent() {
	if r == nil {
		return
	}
	r.sentAt = time.Now()
	r.counts.RecordSend(r.service, r.run.Revision, r.run.Group, r.route)
}

// event records the arrival of an event.
func (r *rolloutRecord) event() {
	if r == nil || r.sentAt.IsZero() {
		return
	}
	r.lastAt = time.Now()
	if r.events++; r.events == 1 {
		r.firstAt = r.lastAt
	}
	if !r.sampled && r.lastAt.Sub(r.firstAt) >= earlySampleTime {
		r.report(r.sample(false))
	}
}

// end records the outcome. Refusals, and attempts that ended for a reason unrelated to the endpoint, are no evidence, and neither is
// an answer from a data centre that was taken out.
func (r *rolloutRecord) end(o dispatch.Outcome, answer *exchange.Answer) {
	if r == nil || r.sentAt.IsZero() || r.server.cluster.Load().Fleet.Out[r.dataCentre] {
		return
	}
	switch o {
	case dispatch.Succeeded, dispatch.Failed:
		if failed := answer != nil && answer.Status >= 500; failed || !r.sampled {
			r.report(r.sample(failed))
		}
	case dispatch.Broken:
		r.report(r.sample(true))
	}
}

// sample returns the outcome. A failure that follows a sample of the times has none.
func (r *rolloutRecord) sample(failed bool) decision.Sample {
	s := decision.Sample{Group: r.run.Group, Route: r.route, Failed: failed}
	if r.sampled {
		return s
	}
	switch {
	case r.events > 0 && !r.continues:
		s.FirstEvent = r.firstAt.Sub(r.sentAt)
	case r.events == 0 && !failed:
		s.FirstEvent = time.Since(r.sentAt)
	}
	if r.events > 1 {
		s.Interval = r.lastAt.Sub(r.firstAt) / time.Duration(r.events-1)
	}
	return s
}

func (r *rolloutRecord) report(s decision.Sample) {
	r.sampled = true
	r.counts.RecordSample(r.service, r.run.Revision, s)
}
