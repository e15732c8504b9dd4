package edge

import (
	"time"

	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/decision/dispatch"
	decision "azuredyke.dev/azuredyke/decision/rollout"
	"azuredyke.dev/azuredyke/service/rollout"
)

// intervalTime is the time after the first event at which the time between the events of a stream is reported, before its end. Long
// streams outlast a short roll-out, and what they show would come too late.
const intervalTime = time.Second

// rolloutRecord reports one attempt for the counts of a roll-out. A nil record reports nothing.
type rolloutRecord struct {
	counts  rollout.Outcomes
	server  *Server
	run     dispatch.RolloutRun
	service string
	route   string
	// endpoint and dataCentre are those of the attempt.
	endpoint   string
	dataCentre string
	deadline   time.Time
	// continues is set if the attempt continues a run, whose time to the first event is no measure.
	continues bool

	sentAt, firstAt, lastAt time.Time
	events                  int
	// measured is set once the time between events was reported.
	measured bool
}

// newRolloutRecord returns the record of an attempt; nil if there is no order for the service.
func (s *session) newRolloutRecord(p dispatch.Placement, o sendOptions) *rolloutRecord {
	if s.server.rollouts == nil || p.Rollout == nil {
		return nil
	}
	return &rolloutRecord{
		counts: s.server.rollouts, server: s.server, run: *p.Rollout, service: s.service, route: s.route.Name,
		endpoint: p.Endpoint.ID, dataCentre: p.Endpoint.DataCentre, deadline: s.deadline, continues: o.continues(),
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
		first := r.sample(false)
		if !r.continues {
			first.FirstEvent = r.firstAt.Sub(r.sentAt)
		}
		r.counts.RecordFirstEvent(r.service, r.run.Revision, first)
	}
	if !r.measured && r.lastAt.Sub(r.firstAt) >= intervalTime {
		r.measured = true
		s := r.sample(false)
		s.Interval = r.interval()
		r.counts.RecordInterval(r.service, r.run.Revision, s)
	}
}

// end records the outcome. Refused requests provably did not run, and say nothing about the version; neither does an answer from a data
// centre that was taken out.
func (r *rolloutRecord) end(o dispatch.Outcome, answer *exchange.Answer) {
	if r == nil || r.sentAt.IsZero() {
		return
	}
	isOut := r.server.cluster.Load().Fleet.Out[r.dataCentre]
	switch o {
	case dispatch.Succeeded, dispatch.Failed:
		if !isOut {
			r.report(answer != nil && answer.Status >= 500)
			return
		}
	case dispatch.Broken:
		if !isOut {
			r.report(true)
			return
		}
	case dispatch.Cancelled:
		if !isOut && !r.continues {
			r.reportCancelled()
			return
		}
	}
	if r.events == 0 {
		r.counts.RecordUnevaluated(r.service, r.run.Revision, r.run.Group, r.route)
	}
}

// reportCancelled records a request that had no answer when its deadline passed as a failure, of either group: a version that never
// answers fails no request otherwise. What the old versions do as well is no fault of the target. A request that its caller gave up
// earlier has no outcome, and counts as slow once it has no response for longer than the answers of the old versions take.
func (r *rolloutRecord) reportCancelled() {
	if r.events == 0 && !time.Now().Before(r.deadline) {
		r.report(true)
	}
}

// report records the outcome, with the times that were not recorded before.
func (r *rolloutRecord) report(failed bool) {
	s := r.sample(failed)
	if r.events == 0 && !failed && !r.continues {
		s.FirstEvent = time.Since(r.sentAt)
	}
	if !r.measured && r.events > 1 {
		s.Interval = r.interval()
	}
	r.counts.RecordSample(r.service, r.run.Revision, s)
}

// sample returns the outcome without times.
func (r *rolloutRecord) sample(failed bool) decision.Sample {
	return decision.Sample{
		Group: r.run.Group, Route: r.route, Endpoint: r.endpoint, Failed: failed, Cold: r.run.Cold, Started: r.events > 0,
	}
}

// interval returns the mean time between events.
func (r *rolloutRecord) interval() time.Duration {
	return r.lastAt.Sub(r.firstAt) / time.Duration(max(1, r.events-1))
}
