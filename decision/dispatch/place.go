package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/placement"
)

const (
	// maxCopyMemoryShare is the fraction of an engine's memory up to which copies are placed. The rest is reserved for new
	// runs, for runs that grow longer than expected and for runs that move from an engine that is leaving.
	maxCopyMemoryShare = 0.6
	// scarceMemoryShare is the fraction of the memory of all engines of a service above which no copies are placed. A prompt
	// that waits for memory is certainly late; a run without a copy is lost only if its engine fails without notice.
	scarceMemoryShare = 0.7
)

const (
	// nodesWithoutSampling is the number of nodes up to which simultaneous placements are rare. With more nodes, each node
	// first considers a random sample of the endpoints, which shrinks as nodes are added and has at least minSampleSize.
	nodesWithoutSampling = 8
	minSampleSize        = 4
	// copySampleDivisor limits the sample for copies to one in three endpoints, because all nodes place copies at the same
	// moment when an engine leaves.
	copySampleDivisor = 3
)

// Place chooses an endpoint for a request and counts the run as load until Release. It returns a refusal if the request may
// not be sent now.
func (t *Table) Place(now time.Time, r Request) (Placement, Refusal) {
	chosen, refusal := t.chooseEndpoint(now, &r)
	if refusal != "" {
		return Placement{}, refusal
	}
	if r.Repeat {
		budget := t.retryBudget(r.Service)
		switch {
		case r.ForceRepeat:
			budget.RecordRepeat(now)
		case !budget.Take(now, t.params.RetryRatio, t.params.RetryAllowance/float64(t.nodes)):
			return Placement{}, RetryBudget
		}
	}
	placed := Placement{
		Endpoint: chosen.Endpoint, InFlight: chosen.candidate.InFlight, Prefill: chosen.candidate.Prefill, LoadAge: now.Sub(t.othersUpdatedAt),
		RateLimited: chosen.statement.rateLimit.limited, RateLimit: chosen.statement.rateLimit.rate,
	}
	newRun := &run{
		endpoint: chosen, tokens: r.Tokens, prefill: r.prefill(), prefillAhead: chosen.candidate.Prefill, placedAt: now, resumed: r.Resumed,
		priority: r.Priority, long: r.isLong(),
	}
	placed.BySpeed, placed.Slowdown = t.choosesBySpeed(r.Service), chosen.candidate.Slowdown
	chosen.advanceUsage(now)
	newRun.usage = chosen.usage
	placed.CachedTokens, newRun.cachedTokens = chosen.candidate.CachedTokens, chosen.candidate.CachedTokens
	t.recordPrompt(&r, chosen)
	chosen.given += float64(r.Tokens)
	chosen.own.InFlight++
	chosen.own.Tokens += r.Tokens
	chosen.own.Prefill += newRun.prefill
	chosen.recordSend(now)
	placed.Rollout = t.recordRolloutSend(now, &r, chosen)
	if backup := t.chooseBackup(now, &r, chosen); backup != nil {
		newRun.backup, newRun.copyTokens = backup, meanCopyTokens(&r)
		backup.own.Tokens += newRun.copyTokens
		placed.Backup = backup.Endpoint
	}
	t.lastRun++
	t.ownLoadChanged = true
	placed.Run = t.lastRun
	t.runs[t.lastRun] = newRun
	t.addUsage(newRun, r.Workspace)
	return placed, ""
}

// chooseAmong returns the endpoint for a request among those of a selection; without a roll-out, share is nil and all count.
func (t *Table) chooseAmong(now time.Time, r *Request, share *rolloutShare, which selection) (*endpoint, Refusal) {
	if r.SpareMemoryOnly && t.UnderMemoryPressure(now, r.Service) {
		return nil, AllEndpointsFull
	}
	t.eligible, t.candidates = t.eligible[:0], t.candidates[:0]
	usable, paused, admitted, limited := 0, 0, 0, 0
	for _, e := range t.services[r.Service] {
		if share != nil && !share.contains(which, e) {
			continue
		}
		o := t.obstacle(now, r, e)
		if o.isLasting() {
			continue
		}
		usable++
		switch o {
		case Paused, RateLimited:
			paused++
		case Avoided, SlotsTaken:
		case ColdLimit:
			admitted++
		case PrefillBacklog, MemoryTaken, MemoryReserved:
			admitted++
			limited++
		default:
			admitted++
			t.eligible = append(t.eligible, e)
			t.candidates = append(t.candidates, &e.candidate)
		}
	}
	query := r.query()
	if t.yields(r) {
		return nil, LeftToOthers
	}
	if e := t.pickEligible(now, r, query, t.policies(r)); e != nil {
		return e, ""
	}
	switch {
	case usable == 0:
		return nil, NoEndpoint
	case paused == usable:
		return nil, AllEndpointsPaused
	case admitted > 0 && len(t.eligible) == 0 && limited == 0:
		return nil, AllEndpointsCold
	default:
		return nil, AllEndpointsFull
	}
}

// pickEligible chooses among the eligible endpoints. It tries a random sample first, so that nodes that place requests at the
// same moment with the same load figures don't all choose the same endpoint.
func (t *Table) pickEligible(now time.Time, r *Request, query *placement.Request, policies []*placement.Policy) *endpoint {
	t.shuffleEligible()
	t.matchPrompt(r)
	if t.choosesBySpeed(r.Service) && r.Tokens > 0 {
		pick := t.pickByTime
		if r.CopyPending {
			pick = t.pickNearFirst
		}
		if e := pick(now, r, query, policies[0]); e != nil {
			return e
		}
	}
	sample := t.sampleSize(r, len(t.candidates))
	t.includePreferred(0, sample, len(t.candidates))
	t.setCandidateSpeeds(now, t.eligible[:sample])
	if i, ok := policies[0].Choose(query, t.candidates[:sample]); ok {
		return t.eligible[i]
	}
	t.setCandidateSpeeds(now, t.eligible[sample:])
	for _, p := range policies {
		if i, ok := p.Choose(query, t.candidates); ok {
			return t.eligible[i]
		}
	}
	return nil
}

// sampleSize returns the number of endpoints in the sample that is tried first.
func (t *Table) sampleSize(r *Request, eligible int) int {
	size := max(minSampleSize, eligible*nodesWithoutSampling/max(nodesWithoutSampling, t.nodes))
	if r.CopyPending {
		size = min(size, (eligible+copySampleDivisor-1)/copySampleDivisor)
	}
	return min(size, eligible)
}

// UnderMemoryPressure reports whether the engines of a service have too little free memory for copies.
func (t *Table) UnderMemoryPressure(now time.Time, service string) bool {
	used, capacity := 0.0, 0.0
	share := t.rollouts[service]
	for _, e := range t.services[service] {
		if (share == nil || share.allowsRuns(e.Version)) && e.refreshCandidate(now, t.params.DataCentre) {
			used += e.candidate.UntrackedMemory
			capacity += e.candidate.Capacity
		}
	}
	return used > scarceMemoryShare*capacity
}

// meanCopyTokens returns the mean size in tokens of the copy of a run's memory over the duration of the run.
func meanCopyTokens(r *Request) int { return (r.PromptTokens + r.Tokens) / 2 }

// chooseBackup returns the endpoint that is to hold a copy of a run's memory, or nil for no copy.
func (t *Table) chooseBackup(now time.Time, r *Request, primary *endpoint) *endpoint {
	if !r.Backup || primary.service.Engine == nil || !primary.service.Engine.SupportsBackups || t.UnderMemoryPressure(now, r.Service) {
		return nil
	}
	if t.choosesBySpeed(r.Service) {
		return t.chooseBackupBySpeed(now, r, primary)
	}
	t.collectBackups(now, r.Service, primary, t.params.DataCentre)
	query := &placement.Request{Exclude: r.Exclude, Memory: placement.FlatForecast(float64(r.Tokens))}
	if i, ok := t.strictEnginePolicy.Choose(query, t.candidates); ok {
		return t.eligible[i]
	}
	return nil
}

// collectBackups sets the eligible endpoints for the copy of a run's memory. Those in dataCentre count as near.
func (t *Table) collectBackups(now time.Time, service string, primary *endpoint, dataCentre string) {
	t.eligible, t.candidates = t.eligible[:0], t.candidates[:0]
	share := t.rollouts[service]
	for _, e := range t.services[service] {
		if share != nil && !share.allowsCopy(primary.Version, e.Version) {
			continue
		}
		if e == primary || e.isCold(now) || !e.refreshCandidate(now, dataCentre) {
			continue
		}
		e.candidate.Capacity *= maxCopyMemoryShare
		t.eligible = append(t.eligible, e)
		t.candidates = append(t.candidates, &e.candidate)
	}
}
