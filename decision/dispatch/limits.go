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

// lateShare is the share of their memory that long requests may take once they have missed their objective. The rest is for requests
// that can still be in time, which are worth more to their callers.
const lateShare = 0.6

// limits holds what ordered admission knows about the engines of a service.
type limits struct {
	urgent  overload.Class
	rates   overload.PrefillRates
	reserve overload.Reserve
	use     overload.MemoryUse
}

// OrdersAdmission reports whether requests to engines wait at the node for room.
func (t *Table) OrdersAdmission() bool { return t.params.OrderedAdmission }

// limitsOf returns the limits of a service with its most urgent class updated.
func (t *Table) limitsOf(service string, routes []catalog.Route) *limits {
	l := t.limits[service]
	if l == nil {
		l = &limits{rates: overload.PrefillRates{}}
		t.limits[service] = l
	}
	l.urgent = overload.MostUrgent(service, routes)
	return l
}

// Reserves returns the share of the memory that new long runs leave free, by service.
func (t *Table) Reserves(now time.Time) map[string]float64 {
	reserves := make(map[string]float64, len(t.limits))
	for service, l := range t.limits {
		if s := t.services[service]; len(s) > 0 && s[0].service.Engine != nil {
			reserves[service] = l.reserve.Share(now)
		}
	}
	return reserves
}

// capacity returns what the engines of a service that are not leaving can do for requests of a priority.
func (t *Table) capacity(service string, priority int) overload.Capacity {
	var c overload.Capacity
	share := t.rollouts[service]
	for _, e := range t.services[service] {
		if (share == nil || share.getsMostRequests(e.Version)) && e.service.Engine != nil && !e.isLeaving() && !e.dataCentreOut {
			c.Memory += float64(e.service.Engine.Capacity)
			c.Prefill += t.limits[service].rates.Of(priority).PerMillisecond()
		}
	}
	return c
}

// enginesFor returns the number of engines of a service over which waiting requests spread; at least 1.
func (t *Table) enginesFor(service string) int {
	share := t.rollouts[service]
	if share == nil {
		return len(t.services[service])
	}
	count := 0
	for _, e := range t.services[service] {
		if share.getsMostRequests(e.Version) {
			count++
		}
	}
	return max(1, count)
}

// listedAsLeaving reports whether the entry of an endpoint says that it is leaving.
func (t *Table) listedAsLeaving(e *catalog.Endpoint) bool {
	listed := t.endpoints[e.ID]
	return listed != nil && listed.SameIncarnation(e) && listed.Leaving
}

// recordDeparture records that one of a number of engines begins to leave, for the reserve of the service. Engines of a version that a
// roll-out has replaced or reverted don't count: nothing may run on them, and the others need no room for it.
func (t *Table) recordDeparture(now time.Time, l *limits, e *catalog.Endpoint, engines int) {
	if share := t.rollouts[e.Service]; share == nil || share.allowsRuns(e.Version) {
		l.reserve.RecordDeparture(now, engines)
	}
}

// limit applies ordered admission to an endpoint whose candidate is up to date, and returns what keeps the request from it. Only new
// runs on engines are limited.
func (t *Table) limit(now time.Time, r *Request, e *endpoint) Obstacle {
	if e.service.Engine == nil || r.Tokens == 0 || r.SpareMemoryOnly || r.WithoutLimits {
		return ""
	}
	query := placement.Request{Memory: placement.FlatForecast(float64(r.Tokens))}
	if r.Resumed {
		if !r.CopyPending || (placement.ExpectedMemoryFilter{}).Permits(&query, &e.candidate) {
			return ""
		}
		return MemoryTaken
	}
	l, c, engines := t.limits[r.Service], &e.candidate, t.enginesFor(r.Service)
	// Only as many engines keep room for more urgent requests as those need.
	moreUrgent := r.MoreUrgent
	if !r.LeavesAllRoom && t.random.IntN(engines) >= moreUrgent.Requests() {
		moreUrgent = overload.MoreUrgent{}
	}
	prefill := overload.PrefillLimit{Urgent: l.urgent, Rates: l.rates, Yields: moreUrgent.Short.Requests > 0}
	if !prefill.Admits(now, r.Priority, c.Prefill+moreUrgent.HeadroomPrompt(engines), r.prefill(), r.FirstEventBy) {
		return PrefillBacklog
	}
	unreserved, reserve := c.Capacity, l.reserve.Share(now)
	headroom := moreUrgent.HeadroomTokens(engines, r.isLong(), c.UntrackedMemory, c.Capacity, reserve)
	if r.isLong() {
		c.Capacity *= 1 - reserve - l.use.ShortShare()
		if !r.FirstEventBy.IsZero() && now.After(r.FirstEventBy) {
			c.Capacity *= lateShare
		}
	}
	c.Capacity = max(1, c.Capacity-headroom)
	if (placement.ExpectedMemoryFilter{}).Permits(&query, c) {
		return ""
	}
	c.Capacity = unreserved
	if (placement.ExpectedMemoryFilter{}).Permits(&query, c) {
		return MemoryReserved
	}
	return MemoryTaken
}

// orderedPolicies returns the policies for a request to an engine, in the order in which they are tried. strict rejects the engines on
// which the memory does not fit, lenient does not.
func (t *Table) orderedPolicies(r *Request, strict, lenient *placement.Policy) []*placement.Policy {
	switch {
	case r.SpareMemoryOnly:
		return []*placement.Policy{strict}
	case r.Resumed:
		return []*placement.Policy{t.migrationPolicy, lenient}
	case r.WithoutLimits:
		return []*placement.Policy{strict, lenient}
	default:
		return []*placement.Policy{strict}
	}
}

// yields reports whether a request that waits leaves the engines with room to others this time. All nodes see free memory at about the
// same moment, so that on average only as many waiting requests try it as there are engines with room.
func (t *Table) yields(r *Request) bool {
	return r.Contenders > len(t.eligible) && t.random.IntN(r.Contenders) >= len(t.eligible) && len(t.eligible) > 0
}

// addUsage counts the tokens of a run for its workspace. It also does so without ordered admission, which can be enabled while runs are
// open.
func (t *Table) addUsage(r *run, workspace string) {
	r.workspace = workspace
	if r.tokens > 0 {
		t.usage[workspace] += r.tokens
	}
}

// removeUsage removes the tokens of a run from those of its workspace.
func (t *Table) removeUsage(r *run) {
	if t.usage[r.workspace] -= r.tokens; t.usage[r.workspace] <= 0 {
		delete(t.usage, r.workspace)
	}
}

// recordUse records the memory that a run has used.
func (t *Table) recordUse(now time.Time, r *run) {
	if l := t.limits[r.endpoint.service.Name]; l != nil && r.tokens > 0 {
		l.use.Record(now, r.tokens, now.Sub(r.placedAt), r.long)
	}
}

// ObservePrefill learns the rate of the service's engines from the first event of a run. It must be called before RecordFirstEvent.
func (t *Table) ObservePrefill(now time.Time, number uint64) {
	r := t.runs[number]
	if r == nil || r.firstEventReceived || r.resumed {
		return
	}
	if l := t.limits[r.endpoint.service.Name]; l != nil {
		l.rates.Of(r.priority).Observe(r.prefillAhead+r.prefill, now.Sub(r.placedAt))
	}
}

// isMostUrgent reports whether a priority is that of the most urgent class of a service, or more urgent.
func (t *Table) isMostUrgent(service string, priority int) bool {
	l := t.limits[service]
	return l == nil || priority <= l.urgent.Priority
}

// prefillTime returns the time in which an engine of a service computes a prompt of a request with the given priority.
func (t *Table) prefillTime(service string, priority, tokens int) time.Duration {
	if l := t.limits[service]; l != nil {
		return overload.PrefillLimit{Urgent: l.urgent, Rates: l.rates}.FirstEventTime(priority, tokens)
	}
	return 0
}
