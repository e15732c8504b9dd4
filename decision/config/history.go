package config

// maxHistoryDeltas bounds the deltas of a history. At 15,000 changes per day they cover about an hour, so only a starting
// node needs a whole snapshot.
const maxHistoryDeltas = 512

// History is the newest snapshot with the deltas that led to it. It is immutable.
type History struct {
	newest *Snapshot
	// deltas are contiguous: the To of each is the From of the next.
	deltas []Delta
}

// NewHistory returns the history that starts at a snapshot.
func NewHistory(s *Snapshot) *History { return &History{newest: s} }

// Newest returns the newest snapshot.
func (h *History) Newest() *Snapshot { return h.newest }

// Advance returns the history extended by a newer snapshot.
func (h *History) Advance(next *Snapshot) *History {
	deltas := h.deltas
	if len(deltas) >= maxHistoryDeltas {
		deltas = deltas[len(deltas)-maxHistoryDeltas+1:]
	}
	// The full slice expression makes append copy, so that two histories never share appended deltas.
	return &History{newest: next, deltas: append(deltas[:len(deltas):len(deltas)], Diff(h.newest, next))}
}

// Since returns one delta from a revision to the newest, or false if the history does not contain the revision.
func (h *History) Since(revision int64) (Delta, bool) {
	start := -1
	for i, d := range h.deltas {
		if d.From == revision {
			start = i
			break
		}
	}
	if start < 0 {
		return Delta{}, false
	}
	out := Delta{From: revision, To: h.newest.revision}
	changed := map[Ref]bool{}
	for _, d := range h.deltas[start:] {
		for _, o := range d.Changed {
			changed[o.Ref] = true
		}
		for _, ref := range d.Deleted {
			changed[ref] = true
		}
	}
	for ref := range changed {
		if o := h.newest.objects[ref]; o != nil {
			out.Changed = append(out.Changed, o)
		} else {
			out.Deleted = append(out.Deleted, ref)
		}
	}
	return out, true
}
