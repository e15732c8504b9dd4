package dispatcher

import (
	"github.com/uber-go/tally/v4"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/admission"
)

// cellMeter reports the metrics of one cell.
type cellMeter struct {
	scope       tally.Scope
	grants      tally.Counter
	released    tally.Counter
	preemptions tally.Counter
	queued      tally.Gauge
	inFlight    tally.Gauge
	inherited   tally.Gauge
	limit       tally.Gauge
	states      [len(admission.States)]tally.Gauge
	lastCounts  admission.Counts
}

func newCellMeter(scope tally.Scope, cell string) *cellMeter {
	s := scope.SubScope("cell").Tagged(map[string]string{"cell": cell})
	m := &cellMeter{
		scope: s, grants: s.Counter("grants"), released: s.Counter("grants_released_by_load_report"),
		preemptions: s.Counter("preemptions"), queued: s.Gauge("queued"), inFlight: s.Gauge("in_flight"),
		inherited: s.Gauge("inherited"), limit: s.Gauge("limit"),
	}
	for i, state := range admission.States {
		m.states[i] = s.Tagged(map[string]string{"state": state.String()}).Gauge("endpoints")
	}
	return m
}

// countReply counts a grant, or a refusal by its reason.
func (m *cellMeter) countReply(r message.PlaceReply) {
	if r.Refusal != nil {
		m.scope.Tagged(map[string]string{"reason": string(r.Refusal.Reason)}).Counter("refusals").Inc(1)
		return
	}
	m.grants.Inc(1)
}

// update sets the gauges to the state of the cell, and adds the changes since the last call to the counters.
func (m *cellMeter) update(v admission.View) {
	m.released.Inc(v.Counts.Released - m.lastCounts.Released)
	m.preemptions.Inc(v.Counts.Preemptions - m.lastCounts.Preemptions)
	m.lastCounts = v.Counts
	queued, inFlight, inherited, limit := 0, 0, 0, 0
	var states [len(admission.States)]int
	for _, n := range v.Queued {
		queued += n
	}
	for _, e := range v.Endpoints {
		inFlight += e.InFlight
		inherited += e.Inherited
		limit += e.Limit
		states[e.State]++
	}
	m.queued.Update(float64(queued))
	m.inFlight.Update(float64(inFlight))
	m.inherited.Update(float64(inherited))
	m.limit.Update(float64(limit))
	for i, n := range states {
		m.states[i].Update(float64(n))
	}
}
