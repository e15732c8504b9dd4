package main

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is the time for which the store keeps its changes.
	historyTime = 20 * time.Second
	// leaseCheckInterval is the interval at which leases are checked for their end.
	leaseCheckInterval = 50 * time.Millisecond
)

// item is one key of the store on the wire.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	LeaseID  int64  `json:"leaseId"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// change is a change in the history.
type change struct {
	item
	at time.Time
}

// lease is a lease with its time to live.
type lease struct {
	ttl time.Duration
	end time.Time
}

// image is the content of the store. Its maps and history are not shared.
type image struct {
	items     map[string]item
	leases    map[int64]lease
	history   []change
	revision  int64
	lastLease int64
	// compacted is the revision up to which the history was dropped.
	compacted int64
}

func (m image) clone() image {
	m.items, m.leases, m.history = maps.Clone(m.items), maps.Clone(m.leases), slices.Clone(m.history)
	return m
}

// store is the platform's metadata store.
type store struct {
	record *record
	mu     sync.Mutex
	image
	// era is the header Store-Era. It rises with each restore.
	era int64
	// away is set while every call gets the status 503.
	away bool
	// changed is closed at the next change.
	changed chan struct{}
	// isLate decides whether a transaction gets no answer and is executed lateBy later; nil if none is.
	isLate func(t transaction) bool
	lateBy time.Duration
}

func newStore(r *record) *store {
	s := &store{record: r, changed: make(chan struct{}), era: 1}
	s.items, s.leases, s.lastLease, s.revision = map[string]item{}, map[int64]lease{}, 77000, 400
	s.compacted = s.revision
	return s
}

// put writes a key as the operator or an endpoint does, and reports whether the store has acknowledged it.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.write(item{Key: key, Value: value})
	s.record.writef("store: acknowledges %s at revision %d", key, s.revision)
	return true
}

// delete deletes a key as the operator does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
	s.record.writef("store: acknowledges the deletion of %s at revision %d", key, s.revision)
}

// write applies a write at a new revision. The caller holds the lock.
func (s *store) write(i item) {
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if known, ok := s.items[i.Key]; ok {
		i.Created = known.Created
	}
	s.items[i.Key] = i
	s.append(i)
}

// remove deletes a key at a new revision. The caller holds the lock.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) append(i item) {
	now := time.Now()
	s.history = append(s.history, change{item: i, at: now})
	old := 0
	for old < len(s.history) && now.Sub(s.history[old].at) > historyTime {
		s.compacted = s.history[old].Revision
		old++
	}
	s.history = slices.Delete(s.history, 0, old)
	s.notify()
}

// notify wakes the watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the items with a prefix after a key, in the order of the keys. The caller holds the lock.
func (s *store) list(prefix, after string) []item {
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// since returns the changes of keys with a prefix after a revision. It returns false if the store does not have that revision. The
// caller holds the lock.
func (s *store) since(prefix string, revision int64) ([]item, bool) {
	if revision < s.compacted || revision > s.revision {
		return nil, false
	}
	events := []item{}
	for _, c := range s.history {
		if c.Revision > revision && strings.HasPrefix(c.Key, prefix) {
			events = append(events, c.item)
		}
	}
	return events, true
}

// copy returns a copy of the content.
func (s *store) copy() image {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.writef("store: a copy is made at revision %d", s.revision)
	return s.clone()
}

// setAway sets whether the store answers every call with 503.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
	s.record.writef("store: away: %t", away)
}

// restore replaces the content by a copy.
func (s *store) restore(c image) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.revision
	s.image = c
	s.era++
	s.notify()
	s.record.writef("store: restored from the copy: revision %d instead of %d, era %d", s.revision, before, s.era)
}

// runLeases ends the leases whose time is over, with their keys, until stop is closed.
func (s *store) runLeases(stop <-chan struct{}) {
	tick := time.NewTicker(leaseCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-tick.C:
			s.endLeases(now)
		}
	}
}

func (s *store) endLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for _, i := range s.list("", "") {
		if i.LeaseID == id {
			s.remove(i.Key)
			s.record.writef("store: lease %d ended; %s removed at revision %d", id, i.Key, s.revision)
		}
	}
}
