package config

// maxHistory bounds the revisions that a history reaches back. At 15,000 changes a day it covers about an hour, so only a
// node that starts needs a whole snapshot.
const maxHistory = 512

// History is the newest snapshot with the deltas that led to it. It is immutable.
type History struct {
	newest *Snapshot
	// deltas join: the To of each is the From of the next.
	deltas []Delta
}

// NewHistory returns the history that starts at a snapshot.
func NewHistory(s *Snapshot) *History { return &History{newest: s} }

// Newest returns the newest snapshot.
func (h *History) Newest() *Snapshot { return h.newest }

// Advance returns the history with a newer snapshot.
func (h *History) Advance(next *Snapshot) *History {
	deltas := h.deltas
	if len(deltas) >= maxHistory {
		deltas = deltas[len(deltas)-maxHistory+1:]
	}
	// The three-index slice makes append copy, so that histories never share their tails.
	return &History{newest: next, deltas: append(deltas[:len(deltas):len(deltas)], Difference(h.newest, next))}
}

// Since returns one delta from a revision to the newest, or false when the history does not reach back to it.
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
	seen := map[Ref]bool{}
	for _, d := range h.deltas[start:] {
		for _, o := range d.Changed {
			seen[o.Ref] = true
		}
		for _, ref := range d.Deleted {
			seen[ref] = true
		}
	}
	for ref := range seen {
		if o := h.newest.objects[ref]; o != nil {
			out.Changed = append(out.Changed, o)
		} else {
			out.Deleted = append(out.Deleted, ref)
		}
	}
	return out, true
}
