package dispatch

import (
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/placement"
)

const (
	// spareShare is the part of an engine's memory up to which copies are placed. The rest is for new runs, for those that
	// grow longer than expected and for those of engines that leave.
	spareShare = 0.6
	// crowdedShare is the part of the memory of all engines of a service above which there are no copies: a prompt that waits
	// for memory is late for certain, a run without a copy is lost only if its engine goes unseen.
	crowdedShare = 0.7
)

const (
	// nodesInStep is the number of nodes that seldom place requests at the same moment. With more of them, each looks at a
	// smaller random part of the endpoints, of at least minSample.
	nodesInStep = 8
	minSample   = 4
	// copySample divides the endpoints for copies, which all nodes place at the moment when an engine leaves.
	copySample = 3
)

// Place chooses an endpoint for a request and counts the run until its release, or says why it may not be sent now.
func (t *Table) Place(now time.Time, r Request) (Placed, Refusal) {
	chosen, refusal := t.choose(now, &r)
	if refusal != "" {
		return Placed{}, refusal
	}
	if r.Repeat {
		budget := t.budget(r.Service)
		switch {
		case r.Free:
			budget.Charge(now)
		case !budget.Take(now, t.params.RetryRatio, t.params.RetryAllowance/float64(t.nodes)):
			return Placed{}, RetryBudget
		}
	}
	placed := Placed{
		Endpoint: chosen.Endpoint, InFlight: chosen.candidate.InFlight, Prefill: chosen.candidate.Prefill, LoadAge: now.Sub(t.heard),
	}
	started := &run{endpoint: chosen, tokens: r.Tokens, prefill: r.prefill()}
	chosen.own.InFlight++
	chosen.own.Tokens += r.Tokens
	chosen.own.Prefill += started.prefill
	chosen.sent(now)
	if backup := t.chooseBackup(now, &r, chosen); backup != nil {
		started.backup, started.copied = backup, copyTokens(&r)
		backup.own.Tokens += started.copied
		placed.Backup = backup.Endpoint
	}
	t.number++
	t.changed = true
	placed.Run = t.number
	t.runs[t.number] = started
	return placed, ""
}

// choose returns the endpoint for a request.
func (t *Table) choose(now time.Time, r *Request) (*endpoint, Refusal) {
	if r.Spare && t.Crowded(now, r.Service) {
		return nil, AllFull
	}
	t.eligible, t.candidates = t.eligible[:0], t.candidates[:0]
	known, admitted := 0, 0
	for _, e := range t.services[r.Service] {
		if r.Only != "" && e.ID != r.Only || e.Leaving || e.out || slices.Contains(r.Exclude, e.ID) {
			continue
		}
		known++
		if !e.refresh(now, t.params.DataCentre) {
			continue
		}
		admitted++
		if !e.coldAdmits(now, t.started, t.params, t.nodes) {
			continue
		}
		if r.Spare {
			e.candidate.Capacity *= spareShare
		}
		t.eligible = append(t.eligible, e)
		t.candidates = append(t.candidates, &e.candidate)
	}
	query := &placement.Request{
		PromptTokens: r.PromptTokens, Memory: placement.FlatForecast(float64(r.Tokens)),
	}
	policies := []*placement.Policy{t.plain}
	switch {
	case r.Spare, r.Tokens > 0 && r.Patient:
		policies = []*placement.Policy{t.engineStrict}
	case r.Tokens > 0:
		// An engine on which the memory does not fit is better than none: it queues the request.
		policies = []*placement.Policy{t.engineStrict, t.engine}
	}
	if e := t.pick(r, query, policies); e != nil {
		return e, ""
	}
	switch {
	case known == 0:
		return nil, NoEndpoint
	case admitted > 0 && len(t.eligible) == 0:
		return nil, AllCold
	default:
		return nil, AllFull
	}
}

// pick chooses among the eligible endpoints. It looks at a random part of them first: nodes choose at the same moment with
// the same knowledge, and must not all choose the same.
func (t *Table) pick(r *Request, query *placement.Request, policies []*placement.Policy) *endpoint {
	t.random.Shuffle(len(t.eligible), func(i, j int) {
		t.eligible[i], t.eligible[j] = t.eligible[j], t.eligible[i]
		t.candidates[i], t.candidates[j] = t.candidates[j], t.candidates[i]
	})
	if i, ok := policies[0].Choose(query, t.candidates[:t.sample(r, len(t.candidates))]); ok {
		return t.eligible[i]
	}
	for _, p := range policies {
		if i, ok := p.Choose(query, t.candidates); ok {
			return t.eligible[i]
		}
	}
	return nil
}

// sample returns the number of endpoints that are looked at first.
func (t *Table) sample(r *Request, eligible int) int {
	size := max(minSample, eligible*nodesInStep/max(nodesInStep, t.nodes))
	if r.Copies {
		size = min(size, (eligible+copySample-1)/copySample)
	}
	return min(size, eligible)
}

// Crowded reports whether the engines of a service have no memory to spare for copies.
func (t *Table) Crowded(now time.Time, service string) bool {
	used, capacity := 0.0, 0.0
	for _, e := range t.services[service] {
		if e.refresh(now, t.params.DataCentre) {
			used += e.candidate.Other
			capacity += e.candidate.Capacity
		}
	}
	return used > crowdedShare*capacity
}

// copyTokens returns the mean size of the copy of a run's memory over its life.
func copyTokens(r *Request) int { return (r.PromptTokens + r.Tokens) / 2 }

// chooseBackup returns the endpoint that is to keep a copy of a run's memory, or nil.
func (t *Table) chooseBackup(now time.Time, r *Request, primary *endpoint) *endpoint {
	if !r.Backup || primary.service.Engine == nil || !primary.service.Engine.Backups || t.Crowded(now, r.Service) {
		return nil
	}
	t.eligible, t.candidates = t.eligible[:0], t.candidates[:0]
	for _, e := range t.services[r.Service] {
		if e == primary || e.isCold(now) || !e.refresh(now, t.params.DataCentre) {
			continue
		}
		e.candidate.Capacity *= spareShare
		t.eligible = append(t.eligible, e)
		t.candidates = append(t.candidates, &e.candidate)
	}
	query := &placement.Request{Exclude: r.Exclude, Memory: placement.FlatForecast(float64(r.Tokens))}
	if i, ok := t.engineStrict.Choose(query, t.candidates); ok {
		return t.eligible[i]
	}
	return nil
}
