package dispatch

import "azuredyke.dev/azuredyke/decision/prefix"

// maxMatched bounds the endpoints that are compared by their cached prompts. More are compared only if the random sample permits no
// endpoint: then it matters where the request fits, and 2,000 estimates would take longer than the rest of the placement.
const maxMatched = 256

// promptCache is what a table needs to estimate which prompts are cached.
type promptCache struct {
	// indexes holds the placed prompts by service.
	indexes map[string]*prefix.Index
	// lastEngine is the number of the latest incarnation.
	lastEngine uint64
	// match is that of the request that is being placed.
	match prefix.Match
	// promptTokens is the size of its prompt. A caller may state larger parts; no more can be saved.
	promptTokens float64
	// prefer is set if the random samples for it include an engine that is preferred for its prompt.
	prefer bool
}

// nextEngine returns the number of a new incarnation.
func (p *promptCache) nextEngine() uint64 {
	p.lastEngine++
	return p.lastEngine
}

// index returns the index of a service.
func (p *promptCache) index(service string) *prefix.Index {
	x := p.indexes[service]
	if x == nil {
		x = prefix.NewIndex()
		p.indexes[service] = x
	}
	return x
}

// matchPrompt prepares the comparison of the eligible endpoints by the cached prompt of a request. Nodes that place the same beginning
// at the same moment draw whether they include a preferred endpoint, so that each of those gets the requests of about
// nodesWithoutSampling nodes. A session is placed by one node.
func (t *Table) matchPrompt(r *Request) {
	t.prompts.match, t.prompts.prefer = prefix.Match{}, false
	if !t.params.PromptAffinity || len(r.Prompt) == 0 || r.prefill() == 0 || r.CopyPending {
		return
	}
	m := t.prompts.index(r.Service).Match(r.Prompt)
	nodes := nodesWithoutSampling * prefix.PreferredShare * float64(len(t.eligible))
	t.prompts.promptTokens = float64(r.PromptTokens)
	t.prompts.match, t.prompts.prefer = m, m.Whole() || t.random.Float64()*float64(t.nodes) < nodes
}

// recordPrompt records that the prompt of a request was placed on an endpoint, before its tokens are added to those given.
func (t *Table) recordPrompt(r *Request, e *endpoint) {
	if t.params.PromptAffinity && len(r.Prompt) > 0 && e.service.Engine != nil {
		engine := e.cache()
		t.prompts.index(r.Service).Record(r.Prompt, r.Tokens, &engine)
	}
}

// forgetEnded removes the incarnations that the table no longer has from the placed prompts.
func (t *Table) forgetEnded() {
	if len(t.prompts.indexes) == 0 {
		return
	}
	alive := make(map[uint64]bool, len(t.endpoints))
	for _, e := range t.endpoints {
		alive[e.number] = true
	}
	for service, x := range t.prompts.indexes {
		if t.services[service] == nil {
			delete(t.prompts.indexes, service)
			continue
		}
		x.Retain(func(number uint64) bool { return alive[number] })
	}
}

// setCachedTokens sets the cached tokens of endpoints that are compared.
func (t *Table) setCachedTokens(endpoints []*endpoint) {
	estimate := !t.prompts.match.Empty() && len(endpoints) <= maxMatched
	for _, e := range endpoints {
		e.candidate.CachedTokens = 0
		if estimate {
			engine := e.cache()
			e.candidate.CachedTokens = min(t.prompts.promptTokens, t.prompts.match.Saved(&engine))
		}
	}
}

// includePreferred makes an endpoint that is preferred for the prompt the last one of the random sample of those from a position.
func (t *Table) includePreferred(from, sample, to int) {
	m := &t.prompts.match
	if m.Empty() || !t.prompts.prefer || sample == 0 {
		return
	}
	for i := from; i < to; i++ {
		if engine := t.eligible[i].cache(); m.Prefers(&engine) {
			if i >= from+sample {
				t.swapEligible(i, from+sample-1)
			}
			return
		}
	}
}

// cache returns the endpoint as its cache of prompts depends on it.
func (e *endpoint) cache() prefix.Engine {
	free := 0.0
	if e.service.Engine != nil {
		free = float64(e.service.Engine.Capacity - e.own.Tokens - e.others.Tokens)
	}
	return prefix.Engine{Number: e.number, ID: e.ID, Given: e.given, Free: free}
}

// countGiven adds what the others' load has grown by to the tokens given. Runs that end between two reports hide as many that begin.
func (e *endpoint) countGiven() {
	e.given += float64(max(0, e.others.Tokens-e.othersCounted))
	e.othersCounted = e.others.Tokens
}
