package edge

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// memberGrace is the time after an outage of the store within which nodes whose entries lapsed must register again. It allows for one
// registration that the store refuses.
const memberGrace = 2 * maxRegistrationBackoff

// memberList is the list of the other nodes. The leases of all nodes end in a long outage of the store, so nodes whose entries lapse then
// stay listed for a while: a node that believes it is alone grants itself the whole limit of each endpoint. It is not safe for concurrent
// use; the view task owns it.
type memberList struct {
	members map[string]Member
	// lapsed holds the nodes whose entries were deleted during an outage or within memberGrace after it.
	lapsed map[string]bool
	// storeUnreachable is set during an outage of the store, graceEnd when it ends.
	storeUnreachable bool
	graceEnd         time.Time
}

func newMemberList() *memberList {
	return &memberList{members: map[string]Member{}, lapsed: map[string]bool{}}
}

// storeLost records that the store cannot be reached.
func (l *memberList) storeLost() { l.storeUnreachable = true }

// storeRegained records that the store answers again.
func (l *memberList) storeRegained(now time.Time) {
	if l.storeUnreachable {
		l.storeUnreachable, l.graceEnd = false, now.Add(memberGrace)
	}
}

// beginEra records that the store was restored from an older copy, which lacks the entries of nodes that registered since.
func (l *memberList) beginEra(now time.Time) {
	l.storeLost()
	l.storeRegained(now)
}

// put records the entry of a node and reports whether the list has changed.
func (l *memberList) put(id string, m Member) bool {
	delete(l.lapsed, id)
	if l.members[id] == m {
		return false
	}
	l.members[id] = m
	return true
}

// remove records that the entry of a node was deleted, and reports whether the list has changed.
func (l *memberList) remove(now time.Time, id string) bool {
	if _, ok := l.members[id]; !ok {
		return false
	}
	if l.storeUnreachable || now.Before(l.graceEnd) {
		l.lapsed[id] = true
		return false
	}
	delete(l.members, id)
	return true
}

// expire removes the nodes whose entries lapsed and were not written again in time, and reports whether there were any.
func (l *memberList) expire(now time.Time) bool {
	if l.storeUnreachable || now.Before(l.graceEnd) || len(l.lapsed) == 0 {
		return false
	}
	for id := range l.lapsed {
		delete(l.members, id)
	}
	clear(l.lapsed)
	return true
}

// sorted returns the nodes in the order of their ids.
func (l *memberList) sorted() []Member {
	return slices.SortedFunc(maps.Values(l.members), func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
}
