package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/placement"
)

// nearDataCentre returns the data centre whose endpoints count as near: that of the node, or of the source for a copy.
func (t *Table) nearDataCentre(r *Request) string {
	if t.params.EndpointSpeed && r.CopyPending && r.SourceDataCentre != "" {
		return r.SourceDataCentre
	}
	return t.params.DataCentre
}

// chooseBackupBySpeed returns the endpoint that is to hold a copy of a run's memory, in the data centre of the primary endpoint if an
// engine there has enough free memory; nil for no copy.
func (t *Table) chooseBackupBySpeed(now time.Time, r *Request, primary *endpoint) *endpoint {
	t.eligible, t.candidates = t.eligible[:0], t.candidates[:0]
	for _, e := range t.services[r.Service] {
		if e == primary || e.isCold(now) || !e.refreshCandidate(now, primary.DataCentre) {
			continue
		}
		e.candidate.Capacity *= maxCopyMemoryShare
		t.eligible = append(t.eligible, e)
		t.candidates = append(t.candidates, &e.candidate)
	}
	t.shuffleEligible()
	query := &placement.Request{Exclude: r.Exclude, Memory: placement.FlatForecast(float64(r.Tokens))}
	return t.pickNearFirst(now, r, query, t.backupSpeedPolicy)
}

// pickNearFirst chooses among the eligible endpoints for a copy: first among those that are near, then among the others, and among
// each first from a random sample, because many nodes place copies at the same time.
func (t *Table) pickNearFirst(now time.Time, r *Request, query *placement.Request, p *placement.Policy) *endpoint {
	near := 0
	for i, c := range t.candidates {
		if c.Nearby {
			t.swapEligible(i, near)
			near++
		}
	}
	for _, group := range [][2]int{{0, near}, {near, len(t.candidates)}} {
		from, to := group[0], group[1]
		for _, end := range []int{from + t.sampleSize(r, to-from), to} {
			t.setCandidateSpeeds(now, t.eligible[from:end])
			if i, ok := p.Choose(query, t.candidates[from:end]); ok {
				return t.eligible[from+i]
			}
		}
	}
	return nil
}

func (t *Table) shuffleEligible() { t.random.Shuffle(len(t.eligible), t.swapEligible) }

func (t *Table) swapEligible(i, j int) {
	t.eligible[i], t.eligible[j] = t.eligible[j], t.eligible[i]
	t.candidates[i], t.candidates[j] = t.candidates[j], t.candidates[i]
}
