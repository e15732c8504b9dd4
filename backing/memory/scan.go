package memory

import (
	"maps"
	"slices"
	"sort"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// Scan returns the entries with key <= k < end, sorted by key. An empty end means the key alone, and "\x00" means all
// keys from key on.
func (s *Store) Scan(key, end string) []backing.Entry {
	if end == "" {
		if e, ok := s.entries[key]; ok {
			return []backing.Entry{e}
		}
		return nil
	}
	var found []backing.Entry
	for k, e := range s.entries {
		if InRange(key, end, k) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// InRange reports whether Scan would return k for the same key and end.
func InRange(key, end, k string) bool {
	if end == "" {
		return k == key
	}
	return k >= key && (end == "\x00" || k < end)
}

// Version returns the number of writes to a key since its creation, or 0 when the key does not exist.
func (s *Store) Version(key string) int64 { return s.versions[key] }

// OldestRevision returns the oldest revision that BatchesFrom accepts.
func (s *Store) OldestRevision() int64 {
	if len(s.history) > 0 && s.history[0].Revision > 2 {
		return s.history[0].Revision
	}
	return 1
}

// Clone returns a copy that shares no state with s.
func (s *Store) Clone() *Store {
	return &Store{
		revision: s.revision, entries: maps.Clone(s.entries), versions: maps.Clone(s.versions),
		leases: maps.Clone(s.leases), nextLease: s.nextLease, history: slices.Clone(s.history),
	}
}

// ExtendLeases restarts the time to live of all leases at now.
func (s *Store) ExtendLeases(now time.Time) {
	for id, l := range s.leases {
		l.expires = now.Add(l.ttl)
		s.leases[id] = l
	}
}
