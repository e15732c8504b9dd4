package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// LoadView is a receiver's copy of the loads that one sender reports. The zero value is empty.
type LoadView struct {
	epoch   uint64
	entries map[string]loadEntry
	// lastFullSeq is the sequence number of the newest full update.
	lastFullSeq uint64
	// receivedAt is the time of the latest update.
	receivedAt time.Time
}

// loadEntry is the load of an endpoint, with the sequence number of the update that set it.
type loadEntry struct {
	load dispatch.Load
	seq  uint64
}

// Continues reports whether an update comes from the process whose loads the view holds.
func (v *LoadView) Continues(u Update) bool { return v.entries != nil && u.Epoch == v.epoch }

// Apply applies an update and returns the differences of the loads that changed. It ignores loads that are older than the
// current ones, and replaces everything if the update is of another epoch.
func (v *LoadView) Apply(now time.Time, u Update) []dispatch.Load {
	v.receivedAt = now
	var changes []dispatch.Load
	if !v.Continues(u) {
		changes = v.clear()
		v.epoch, v.lastFullSeq = u.Epoch, 0
	}
	for _, l := range u.Loads {
		previous := v.entries[l.Endpoint]
		if u.Seq < previous.seq || u.Seq < v.lastFullSeq {
			continue
		}
		v.entries[l.Endpoint] = loadEntry{l, u.Seq}
		changes = appendChange(changes, l.Endpoint, l, previous.load)
	}
	if u.Full && u.Seq > v.lastFullSeq {
		v.lastFullSeq = u.Seq
		for id, e := range v.entries {
			if e.seq < u.Seq {
				delete(v.entries, id)
				changes = appendChange(changes, id, dispatch.Load{}, e.load)
			}
		}
	}
	return changes
}

// clear removes all loads and returns the resulting differences.
func (v *LoadView) clear() []dispatch.Load {
	var changes []dispatch.Load
	for id, e := range v.entries {
		changes = appendChange(changes, id, dispatch.Load{}, e.load)
	}
	v.entries = map[string]loadEntry{}
	return changes
}

// load returns the load of an endpoint.
func (v *LoadView) load(endpoint string) dispatch.Load { return v.entries[endpoint].load }

// LoadsOf returns the loads of the endpoints that an update names, zero ones included.
func (v *LoadView) LoadsOf(u Update) []dispatch.Load {
	loads := make([]dispatch.Load, len(u.Loads))
	for i, l := range u.Loads {
		loads[i] = v.load(l.Endpoint)
		loads[i].Endpoint = l.Endpoint
	}
	return loads
}

// Loads returns all loads, sorted by endpoint.
func (v *LoadView) Loads() []dispatch.Load {
	return nonZeroLoads(slices.Sorted(maps.Keys(v.entries)), v.load)
}

func appendChange(changes []dispatch.Load, endpoint string, current, previous dispatch.Load) []dispatch.Load {
	if c := difference(endpoint, current, previous); !isZero(c) {
		return append(changes, c)
	}
	return changes
}
