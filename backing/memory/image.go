package memory

import (
	"context"
	"maps"
	"slices"
)

// Image is a copy of the content of a KV at one moment.
type Image struct {
	store *Store
}

// clone returns a copy that shares no map and no slice with s.
func (s *Store) clone() *Store {
	c := *s
	c.entries, c.versions, c.leases = maps.Clone(s.entries), maps.Clone(s.versions), maps.Clone(s.leases)
	c.history = slices.Clone(s.history)
	return &c
}

// Copy returns a copy of the present content.
func (k *KV) Copy(ctx context.Context) (Image, error) {
	return do(ctx, k, func(t *task) (Image, error) { return Image{store: t.store.clone()}, nil })
}

// Restore replaces the content by a copy and closes all watches. Revisions after that of the copy are given out again.
func (k *KV) Restore(ctx context.Context, i Image) error {
	_, err := do(ctx, k, func(t *task) (struct{}, error) {
		t.store = i.store.clone()
		t.closeAll()
		return struct{}{}, nil
	})
	return err
}
