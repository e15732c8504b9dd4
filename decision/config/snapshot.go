package config

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot is the configuration at one revision. It is immutable.
type Snapshot struct {
	revision           int64
	objects            map[Ref]*Object
	workspaceByKeyHash map[string]string
}

// NewSnapshot returns the snapshot of the given objects. The objects must not be modified afterwards.
func NewSnapshot(revision int64, objects []*Object) *Snapshot {
	s := &Snapshot{revision: revision, objects: make(map[Ref]*Object, len(objects)), workspaceByKeyHash: map[string]string{}}
	for _, o := range objects {
		s.objects[o.Ref] = o
		if o.Workspace == nil {
			continue
		}
		for _, hash := range o.Workspace.KeyHashes {
			s.workspaceByKeyHash[hash] = o.Name
		}
	}
	return s
}

// Revision returns the configuration revision. The empty configuration has revision 0.
func (s *Snapshot) Revision() int64 { return s.revision }

// Get returns an object, or nil if it does not exist.
func (s *Snapshot) Get(ref Ref) *Object { return s.objects[ref] }

// List returns the objects of one kind, sorted by name.
func (s *Snapshot) List(kind Kind) []*Object {
	var list []*Object
	for _, o := range s.objects {
		if o.Kind == kind {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Objects returns all objects in no particular order.
func (s *Snapshot) Objects() []*Object { return slices.Collect(maps.Values(s.objects)) }

// WithObject returns a copy of the snapshot at the given revision in which ref refers to o. If o is nil, the object is deleted.
func (s *Snapshot) WithObject(revision int64, ref Ref, o *Object) *Snapshot {
	objects := make([]*Object, 0, len(s.objects)+1)
	for r, existing := range s.objects {
		if r != ref {
			objects = append(objects, existing)
		}
	}
	if o != nil {
		objects = append(objects, o)
	}
	return NewSnapshot(revision, objects)
}
