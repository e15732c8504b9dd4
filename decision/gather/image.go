package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

// Image is what a receiver knows of one sender's loads. The zero value knows nothing.
type Image struct {
	epoch   uint64
	entries map[string]entry
	// full is the sequence number of the newest full update.
	full uint64
	at   time.Time
}

// entry is the load of an endpoint, with the sequence number of the update that brought it.
type entry struct {
	load dispatch.Load
	seq  uint64
}

// Take takes an update over and returns by how much loads have changed.
func (i *Image) Take(now time.Time, u Update) []dispatch.Load {
	i.at = now
	var changes []dispatch.Load
	if u.Epoch != i.epoch || i.entries == nil {
		changes = i.clear()
		i.epoch, i.full = u.Epoch, 0
	}
	for _, l := range u.Loads {
		known := i.entries[l.Endpoint]
		if u.Seq < known.seq || u.Seq < i.full {
			continue
		}
		i.entries[l.Endpoint] = entry{l, u.Seq}
		changes = appendChange(changes, l.Endpoint, l, known.load)
	}
	if u.Full && u.Seq > i.full {
		i.full = u.Seq
		for id, e := range i.entries {
			if e.seq < u.Seq {
				delete(i.entries, id)
				changes = appendChange(changes, id, dispatch.Load{}, e.load)
			}
		}
	}
	return changes
}

// clear forgets everything and returns by how much loads have changed.
func (i *Image) clear() []dispatch.Load {
	var changes []dispatch.Load
	for id, e := range i.entries {
		changes = appendChange(changes, id, dispatch.Load{}, e.load)
	}
	i.entries = map[string]entry{}
	return changes
}

// of returns the load of an endpoint.
func (i *Image) of(endpoint string) dispatch.Load { return i.entries[endpoint].load }

// Loads returns all loads, sorted by endpoint.
func (i *Image) Loads() []dispatch.Load { return busy(slices.Sorted(maps.Keys(i.entries)), i.of) }

func appendChange(changes []dispatch.Load, endpoint string, now, before dispatch.Load) []dispatch.Load {
	if c := difference(endpoint, now, before); !idle(c) {
		return append(changes, c)
	}
	return changes
}
