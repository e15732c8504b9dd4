package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
	"azuredyke.dev/azuredyke/decision/overload"
	"azuredyke.dev/azuredyke/decision/placement"
)

// longOutputTokens is the expected output in tokens from which a run holds its memory for so long that the runs of a departing
// engine can't use it: 64 tokens take about as long as the notice of a departure.
const longOutputTokens = 64

// limits holds what ordered admission knows about the engines of a service.
type limits struct {
	urgent  overload.Class
	rate    overload.PrefillRate
	reserve overload.Reserve
}

// limitsOf returns the limits of a service with its most urgent class updated.
func (t *Table) limitsOf(service string, routes []catalog.Route) *limits {
	l := t.limits[service]
	if l == nil {
		l = &limits{rate: overload.NewPrefillRate()}
		t.limits[service] = l
	}
	l.urgent = overload.MostUrgent(service, routes)
	return l
}

// listedAsLeaving reports whether the entry of an endpoint says that it is leaving.
func (t *Table) listedAsLeaving(e *catalog.Endpoint) bool {
	listed := t.endpoints[e.ID]
	return listed != nil && listed.SameIncarnation(e) && listed.Leaving
}

// limit applies ordered admission to an endpoint whose candidate is up to date, and reports whether the request may go there. Only
// new runs on engines are limited.
func (t *Table) limit(now time.Time, r *Request, e *endpoint) bool {
	if e.service.Engine == nil || r.Tokens == 0 || r.Resumed || r.SpareMemoryOnly || r.WithoutLimits {
		return true
	}
	l, c, engines := t.limits[r.Service], &e.candidate, len(t.services[r.Service])
	prefill := overload.PrefillLimit{Urgent: l.urgent, Rate: &l.rate}
	if !prefill.Admits(now, r.Priority, c.Prefill+r.MoreUrgent.HeadroomPrompt(engines), r.prefill(), r.FirstEventBy) {
		return false
	}
	if r.Tokens-r.PromptTokens > longOutputTokens {
		c.Capacity *= 1 - l.reserve.Share(now)
	}
	c.Capacity = max(1, c.Capacity-float64(r.MoreUrgent.HeadroomTokens(engines)))
	query := placement.Request{Memory: placement.FlatForecast(float64(r.Tokens))}
	return placement.ExpectedMemoryFilter{}.Permits(&query, c)
}

// orderedPolicies returns the policies for a request to an engine, in the order in which they are tried.
func (t *Table) orderedPolicies(r *Request) []*placement.Policy {
	switch {
	case r.SpareMemoryOnly:
		return []*placement.Policy{t.strictEnginePolicy}
	case r.Resumed:
		return []*placement.Policy{t.migrationPolicy, t.enginePolicy}
	case r.WithoutLimits:
		return []*placement.Policy{t.strictEnginePolicy, t.enginePolicy}
	default:
		return []*placement.Policy{t.strictEnginePolicy}
	}
}

// ObservePrefill learns the rate of the service's engines from the first event of a run. It must be called before RecordFirstEvent.
func (t *Table) ObservePrefill(now time.Time, number uint64) {
	r := t.runs[number]
	if r == nil || r.firstEventReceived || r.resumed {
		return
	}
	if l := t.limits[r.endpoint.service.Name]; l != nil {
		l.rate.Observe(r.prefillAhead+r.prefill, now.Sub(r.placedAt))
	}
}

// prefillTime returns the time in which an engine of a service computes a prompt.
func (t *Table) prefillTime(service string, tokens int) time.Duration {
	if l := t.limits[service]; l != nil {
		return l.rate.Time(tokens)
	}
	return 0
}
