package dispatch

import (
	"maps"
	"slices"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// BusyEngines returns the model engines that run requests of this node and are not known to be leaving, sorted by id.
func (t *Table) BusyEngines() []fleet.Endpoint {
	return t.enginesWith(func(*run) bool { return true })
}

// EnginesWithoutBackup returns the busy engines with a run whose memory no other engine keeps a copy of.
func (t *Table) EnginesWithoutBackup() []fleet.Endpoint {
	return t.enginesWith(func(r *run) bool { return r.backup == nil })
}

// enginesWith returns the engines with a run of this node that counts.
func (t *Table) enginesWith(counts func(*run) bool) []fleet.Endpoint {
	engines := map[string]fleet.Endpoint{}
	for _, r := range t.runs {
		if e := r.endpoint; t.endpoints[e.ID] == e && e.service.Engine != nil && !e.isLeaving() && counts(r) {
			engines[e.ID] = e.Endpoint
		}
	}
	var sorted []fleet.Endpoint
	for _, id := range slices.Sorted(maps.Keys(engines)) {
		sorted = append(sorted, engines[id])
	}
	return sorted
}
