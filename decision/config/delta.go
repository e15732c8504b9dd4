package config

import (
	"maps"
	"slices"
)

// Delta is the difference between two revisions of the configuration.
type Delta struct {
	From, To int64
	// Changed holds the objects that were created or replaced, as of To.
	Changed []*Object
	Deleted []Ref
}

// Apply returns the snapshot at d.To, or false when s is not at d.From.
func (d Delta) Apply(s *Snapshot) (*Snapshot, bool) {
	if s.revision != d.From || d.To <= d.From {
		return nil, false
	}
	objects := maps.Clone(s.objects)
	for _, ref := range d.Deleted {
		delete(objects, ref)
	}
	for _, o := range d.Changed {
		objects[o.Ref] = o
	}
	return NewSnapshot(d.To, slices.Collect(maps.Values(objects))), true
}

// Diff returns the delta between two snapshots.
func Diff(from, to *Snapshot) Delta {
	d := Delta{From: from.revision, To: to.revision}
	for ref, o := range to.objects {
		if before := from.objects[ref]; before == nil || before.Revision != o.Revision {
			d.Changed = append(d.Changed, o)
		}
	}
	for ref := range from.objects {
		if to.objects[ref] == nil {
			d.Deleted = append(d.Deleted, ref)
		}
	}
	return d
}
