package rollout

import "slices"

// Tally holds the counts of the outcomes of a roll-out, by group and route. The zero value is empty. Counts are cumulative, so a
// newer tally of a process replaces an older one.
type Tally struct {
	// Entries are sorted by group and route.
	Entries []TallyEntry `cbor:"1,keyasint,omitempty"`
}

// RecordSend counts a request that was sent to an endpoint of a group.
func (t *Tally) RecordSend(g Group, route string) { t.entry(g, route).Sends++ }

// Record counts the outcome of a request.
func (t *Tally) Record(s Sample) {
	e := t.entry(s.Group, s.Route)
	e.Answers++
	if s.Failed {
		e.Failures++
	}
}

// Add adds the counts of another tally.
func (t *Tally) Add(o Tally) {
	for _, from := range o.Entries {
		to := t.entry(from.Group, from.Route)
		to.Sends += from.Sends
		to.Answers += from.Answers
		to.Failures += from.Failures
	}
}

// entry returns the entry of a group and a route, which it adds if there is none.
func (t *Tally) entry(g Group, route string) *TallyEntry {
	i, found := slices.BinarySearchFunc(t.Entries, TallyEntry{Group: g, Route: route}, TallyEntry.compare)
	if !found {
		t.Entries = slices.Insert(t.Entries, i, TallyEntry{Group: g, Route: route})
	}
	return &t.Entries[i]
}
