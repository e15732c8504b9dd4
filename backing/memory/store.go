package memory

import (
	"sort"
	"strings"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// maxHistory bounds the number of batches that are stored for watches that start at an earlier revision.
const maxHistory = 10_000

// Store is a key-value store with revisions and leases. It uses no goroutine and no clock. It is not safe for concurrent use;
// the task of a KV owns a Store.
type Store struct {
	revision  int64
	entries   map[string]backing.Entry
	versions  map[string]int64
	leases    map[backing.LeaseID]lease
	nextLease backing.LeaseID
	history   []backing.WatchBatch
}

// lease holds the time to live and the expiry time of one lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store at revision 1.
func NewStore() *Store {
	return &Store{
		revision:  1,
		entries:   map[string]backing.Entry{},
		versions:  map[string]int64{},
		leases:    map[backing.LeaseID]lease{},
		nextLease: 1,
	}
}

// Revision returns the current revision.
func (s *Store) Revision() int64 { return s.revision }

// Get returns one entry. ModRevision is 0 when the key does not exist.
func (s *Store) Get(key string) backing.Entry {
	if e, ok := s.entries[key]; ok {
		return e
	}
	return backing.Entry{Key: key}
}

// Range returns the entries whose keys start with prefix, sorted by key.
func (s *Store) Range(prefix string) backing.RangeResult {
	result := backing.RangeResult{Revision: s.revision}
	for key, e := range s.entries {
		if strings.HasPrefix(key, prefix) {
			result.Entries = append(result.Entries, e)
		}
	}
	sort.Slice(result.Entries, func(i, j int) bool { return result.Entries[i].Key < result.Entries[j].Key })
	return result
}

// Commit applies the transaction. The second result is the batch of events, which is empty when nothing changed.
func (s *Store) Commit(txn backing.Txn) (backing.CommitResult, backing.WatchBatch, error) {
	for _, c := range txn.Conditions {
		if s.entries[c.Key].ModRevision != c.ModRevision {
			return backing.CommitResult{Revision: s.revision}, backing.WatchBatch{}, nil
		}
	}
	for _, w := range txn.Writes {
		if w.Lease == 0 || w.Delete {
			continue
		}
		if _, ok := s.leases[w.Lease]; !ok {
			return backing.CommitResult{}, backing.WatchBatch{}, backing.ErrLeaseNotFound.New("lease %d", w.Lease)
		}
	}
	batch := s.apply(txn.Writes)
	return backing.CommitResult{Committed: true, Revision: s.revision}, batch, nil
}

// apply applies the writes at one new revision and returns their events. If nothing changes, the revision stays the same.
func (s *Store) apply(writes []backing.Write) backing.WatchBatch {
	var events []backing.WatchEvent
	next := s.revision + 1
	for _, w := range writes {
		old, existed := s.entries[w.Key]
		if w.Delete {
			if existed {
				delete(s.entries, w.Key)
				delete(s.versions, w.Key)
				tombstone := backing.Entry{Key: w.Key, ModRevision: next}
				events = append(events, backing.WatchEvent{Deleted: true, Entry: tombstone})
			}
			continue
		}
		e := backing.Entry{Key: w.Key, Value: w.Value, CreateRevision: next, ModRevision: next, Lease: w.Lease}
		if existed {
			e.CreateRevision = old.CreateRevision
		}
		s.entries[w.Key] = e
		s.versions[w.Key]++
		events = append(events, backing.WatchEvent{Entry: e})
	}
	if len(events) == 0 {
		return backing.WatchBatch{}
	}
	s.revision = next
	batch := backing.WatchBatch{Events: events, Revision: next}
	s.history = append(s.history, batch)
	if len(s.history) > maxHistory {
		s.history = append([]backing.WatchBatch(nil), s.history[len(s.history)-maxHistory/2:]...)
	}
	return batch
}

// BatchesFrom returns the batches from the given revision on, or ErrCompacted when they are no longer stored.
func (s *Store) BatchesFrom(from int64) ([]backing.WatchBatch, error) {
	if from > s.revision {
		return nil, nil
	}
	first := s.revision + 1
	if len(s.history) > 0 {
		first = s.history[0].Revision
	}
	if from < first && first > 2 {
		return nil, backing.ErrCompacted.New("revision %d is older than %d", from, first)
	}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision >= from })
	return s.history[start:], nil
}

// GrantLease returns a new lease that expires ttl after now.
func (s *Store) GrantLease(now time.Time, ttl time.Duration) backing.LeaseID {
	id := s.nextLease
	s.nextLease++
	s.leases[id] = lease{ttl: ttl, expires: now.Add(ttl)}
	return id
}

// RenewLease restarts the time to live of a lease at now and returns it. It returns ErrLeaseNotFound if there is no such
// lease.
func (s *Store) RenewLease(now time.Time, id backing.LeaseID) (time.Duration, error) {
	l, ok := s.leases[id]
	if !ok {
		return 0, backing.ErrLeaseNotFound.New("lease %d", id)
	}
	l.expires = now.Add(l.ttl)
	s.leases[id] = l
	return l.ttl, nil
}

// RevokeLease deletes a lease and the keys that are attached to it. It returns ErrLeaseNotFound if there is no such lease.
func (s *Store) RevokeLease(id backing.LeaseID) (backing.WatchBatch, error) {
	if _, ok := s.leases[id]; !ok {
		return backing.WatchBatch{}, backing.ErrLeaseNotFound.New("lease %d", id)
	}
	delete(s.leases, id)
	var writes []backing.Write
	for key, e := range s.entries {
		if e.Lease == id {
			writes = append(writes, backing.Write{Key: key, Delete: true})
		}
	}
	sort.Slice(writes, func(i, j int) bool { return writes[i].Key < writes[j].Key })
	return s.apply(writes), nil
}

// Expire revokes the leases that have expired and returns the batches of events.
func (s *Store) Expire(now time.Time) []backing.WatchBatch {
	var batches []backing.WatchBatch
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		if batch, err := s.RevokeLease(id); err == nil && len(batch.Events) > 0 {
			batches = append(batches, batch)
		}
	}
	return batches
}
