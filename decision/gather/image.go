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
	entries map[string]imageEntry
	// lastFullSeq is the sequence number of the newest full update.
	lastFullSeq uint64
	// receivedAt is the time of the latest update.
	receivedAt time.Time
}

// imageEntry is the load of an endpoint, with the sequence number of the update that set it.
type imageEntry struct {
	load dispatch.Load
	seq  uint64
}

// Apply applies an update and returns the differences of the loads that changed. It ignores loads that are older than the
// current ones, and replaces everything if the update is of another epoch.
func (i *LoadView) Apply(now time.Time, u Update) []dispatch.Load {
	i.receivedAt = now
	var changes []dispatch.Load
	if u.Epoch != i.epoch || i.entries == nil {
		changes = i.clear()
		i.epoch, i.lastFullSeq = u.Epoch, 0
	}
	for _, l := range u.Loads {
		previous := i.entries[l.Endpoint]
		if u.Seq < previous.seq || u.Seq < i.lastFullSeq {
			continue
		}
		i.entries[l.Endpoint] = imageEntry{l, u.Seq}
		changes = appendChange(changes, l.Endpoint, l, previous.load)
	}
	if u.Full && u.Seq > i.lastFullSeq {
		i.lastFullSeq = u.Seq
		for id, e := range i.entries {
			if e.seq < u.Seq {
				delete(i.entries, id)
				changes = appendChange(changes, id, dispatch.Load{}, e.load)
			}
		}
	}
	return changes
}

// clear removes all loads and returns the resulting differences.
func (i *LoadView) clear() []dispatch.Load {
	var changes []dispatch.Load
	for id, e := range i.entries {
		changes = appendChange(changes, id, dispatch.Load{}, e.load)
	}
	i.entries = map[string]imageEntry{}
	return changes
}

// load returns the load of an endpoint.
func (i *LoadView) load(endpoint string) dispatch.Load { return i.entries[endpoint].load }

// Loads returns all loads, sorted by endpoint.
func (i *LoadView) Loads() []dispatch.Load {
	return nonZeroLoads(slices.Sorted(maps.Keys(i.entries)), i.load)
}

func appendChange(changes []dispatch.Load, endpoint string, current, previous dispatch.Load) []dispatch.Load {
	if c := difference(endpoint, current, previous); !isZero(c) {
		return append(changes, c)
	}
	return changes
}
