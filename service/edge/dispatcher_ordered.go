package edge

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
	"azuredyke.dev/azuredyke/decision/overload"
)

// admitOrdered places a new request, or adds it to the waiting ones. If there are too many, the last one no longer waits.
func (d *dispatcher) admitOrdered(now time.Time, m placeMessage) {
	if first := m.request.PromptTokens; first > 0 {
		prefill := d.table.PrefillTime(m.request.Service, first)
		m.hold.FirstEventTime, m.hold.HoldUntil = prefill, m.hold.HoldUntil.Add(-prefill)
	}
	if len(d.waiting) == 0 {
		if refusal := d.placeOrdered(now, m); refusal == "" {
			return
		}
		d.waiting = append(d.waiting, m)
		return
	}
	d.waiting = append(d.waiting, m)
	d.retryOrdered(now)
	if last := len(d.waiting) - 1; last >= maxWaiting {
		overflow := d.waiting[last]
		d.waiting = d.waiting[:last]
		overflow.hold.HoldUntil, overflow.waitUntil = now, now
		d.placeOrdered(now, overflow)
	}
}

// retryOrdered tries to place the waiting requests in order of urgency and drops those whose callers are gone. A request that does
// not fit anywhere doesn't block the others, but less urgent ones leave it the room that it waits for.
func (d *dispatcher) retryOrdered(now time.Time) {
	slices.SortStableFunc(d.waiting, func(a, b placeMessage) int { return a.hold.Compare(now, b.hold, d.workspaceUsage) })
	scan := overload.NewScan()
	d.waiting = slices.DeleteFunc(d.waiting, func(m placeMessage) bool {
		select {
		case <-m.callerGone:
			return true
		default:
		}
		level := m.hold.Level(now)
		shape := overload.Shape{
			Service: m.request.Service, Level: level, Late: m.hold.IsLate(now), FirstEventBy: m.request.FirstEventBy,
			Tokens: m.request.Tokens, PromptTokens: m.request.PromptTokens,
		}
		last := d.mustDecide(now, &m)
		if !last && scan.IsHopeless(shape) {
			scan.Block(shape, false)
			return false
		}
		m.request.Priority, m.request.MoreUrgent = level, scan.MoreUrgent(shape)
		refusal := d.placeOrdered(now, m)
		if refusal != "" {
			scan.Block(shape, refusal == dispatch.AllEndpointsFull && len(m.request.Exclude) == 0)
		}
		return refusal == ""
	})
}

// mustDecide reports whether the request can't wait any longer.
func (d *dispatcher) mustDecide(now time.Time, m *placeMessage) bool {
	return d.stopping || !now.Before(m.hold.HoldUntil)
}

// placeOrdered places or refuses a request. It returns the reason why the request has to wait, which then gets no reply.
func (d *dispatcher) placeOrdered(now time.Time, m placeMessage) dispatch.Refusal {
	if d.mustDecide(now, &m) {
		m.request.MoreUrgent = overload.Demand{}
		m.request.WithoutLimits = !now.Add(m.runTime).After(m.hold.Deadline)
	}
	placement, refusal := d.table.Place(now, m.request)
	var retryAfter time.Duration
	if refusal == dispatch.AllEndpointsPaused {
		retryAfter = d.table.PauseLeft(now, &m.request)
	}
	if refusal != "" && refusal != dispatch.RetryBudget && now.Add(retryAfter).Before(d.waitEnd(now, &m, refusal)) {
		return refusal
	}
	d.answer(m, placement, refusal, retryAfter)
	return ""
}

// waitEnd returns the end of the time for which a request waits after a refusal. Only lack of room is worth the whole time.
func (d *dispatcher) waitEnd(now time.Time, m *placeMessage, refusal dispatch.Refusal) time.Time {
	switch {
	case d.stopping:
		return now
	case refusal == dispatch.AllEndpointsFull || refusal == dispatch.AllEndpointsCold:
		return m.hold.HoldUntil
	default:
		return m.waitUntil
	}
}

// workspaceUsage returns the usage of a workspace relative to its share.
func (d *dispatcher) workspaceUsage(string) float64 { return 0 }
