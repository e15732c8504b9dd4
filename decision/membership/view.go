package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// View is one node's view of the members of the fleet. It is not safe for concurrent use; one task owns it.
type View struct {
	params  Params
	random  *rand.Rand
	self    Member
	head    Head
	entries map[string]*entry
	buckets [Buckets]uint32
	// pending maps each member whose newest record must still be sent to the number of messages that have carried it.
	pending map[string]int
	seeds   []Target
	// triedSeeds holds the addresses of the seeds that were probed before they had a record.
	triedSeeds map[string]bool
	probing    probing
	nextSync   time.Time
	dirty      bool
}

// NewView returns a View that contains only the node's own record. The incarnation of self should exceed all incarnations
// of earlier runs of the node. If it does not, it is raised when another member reports a higher one.
func NewView(self Member, p Params, random *rand.Rand) *View {
	v := &View{
		params: p.withDefaults(), random: random, entries: map[string]*entry{}, pending: map[string]int{},
		triedSeeds: map[string]bool{}, dirty: true,
	}
	self.State = StateAlive
	v.self = self
	v.buckets[bucketOf(self.ID)] = recordHash(self)
	v.raiseHead(Head{Revision: self.ConfigRevision, Node: self.ID, Address: self.Address})
	return v
}

// Self returns the node's own record.
func (v *View) Self() Member { return v.self }

// ResetChanged reports whether the table has changed since the last call.
func (v *View) ResetChanged() bool {
	changed := v.dirty
	v.dirty = false
	return changed
}

// SetSeeds replaces the addresses from the list of hosts.
func (v *View) SetSeeds(hosts []message.Host) {
	v.seeds = v.seeds[:0]
	listed := map[string]bool{}
	for _, h := range hosts {
		if h.Node && h.Address != v.self.Address {
			v.seeds = append(v.seeds, Target{Address: h.Address})
			listed[h.Address] = true
		}
	}
	maps.DeleteFunc(v.triedSeeds, func(address string, _ bool) bool { return !listed[address] })
}

// SetLocal sets the node's own configuration revision and holdings, and reports whether the change should be passed on at
// once.
func (v *View) SetLocal(revision int64, holdings []message.Holding) bool {
	next := v.self
	next.ConfigRevision, next.Holdings = revision, slices.Clone(holdings)
	urgent := v.raiseHead(Head{Revision: revision, Node: v.self.ID, Address: v.self.Address})
	if next.sameHoldings(v.self) {
		v.dirty = v.dirty || next.ConfigRevision != v.self.ConfigRevision
		v.self.ConfigRevision = revision
		return urgent
	}
	next.Incarnation++
	v.setSelf(next)
	return true
}

// Leave sets the node's own state to left. The caller must then push the change to other members.
func (v *View) Leave() {
	next := v.self
	next.State = StateLeft
	v.setSelf(next)
}

func (v *View) setSelf(m Member) {
	v.buckets[bucketOf(m.ID)] ^= recordHash(v.self) ^ recordHash(m)
	v.self = m
	v.pending[m.ID] = 0
	v.dirty = true
}

// merge applies a record and queues it for sending if it is new. It reports whether the record should be passed on at
// once.
func (v *View) merge(now time.Time, m Member) bool {
	if m.ID == v.self.ID {
		v.refute(m.Incarnation, m.State)
		return false
	}
	e := v.entries[m.ID]
	if m.Brief {
		if e == nil || e.member.Incarnation != m.Incarnation {
			return false
		}
		state := m.State
		m = e.member
		m.State = state
	}
	if e == nil {
		if len(v.entries) >= maxMembers || m.ID == "" {
			return false
		}
		e = &entry{}
		v.entries[m.ID] = e
		v.store(now, e, m)
		return m.State == StateAlive && len(m.Holdings) > 0
	}
	if !m.supersedes(e.member) {
		if m.Incarnation == e.member.Incarnation {
			v.raiseRevision(e, m.ConfigRevision)
		}
		return false
	}
	if m.State == StateRemoved && e.member.State == StateAlive {
		// An isolated member may have removed all others. A reported removal therefore starts a suspicion, which the
		// removed member can refute.
		m.State = StateSuspect
		if !m.supersedes(e.member) {
			return false
		}
	}
	if m.State == StateRemoved && e.member.State == StateSuspect && now.Sub(e.since) < v.params.RemoveAfter/2 {
		// The member has not had enough time to refute the suspicion. A full exchange repeats the removal later.
		return false
	}
	urgent := m.State == StateLeft || m.State.Present() && !m.sameHoldings(e.member)
	v.store(now, e, m)
	return urgent
}

// store replaces the record of an entry and queues it for sending.
func (v *View) store(now time.Time, e *entry, m Member) {
	bucket := bucketOf(m.ID)
	if e.member.ID != "" {
		v.buckets[bucket] ^= recordHash(e.member)
	}
	v.buckets[bucket] ^= recordHash(m)
	if e.member.ID == "" || m.State != e.member.State {
		e.since, e.ownSuspicion = now, false
	}
	e.member = m
	v.pending[m.ID] = 0
	v.dirty = true
	if m.State.Present() {
		v.raiseHead(Head{Revision: m.ConfigRevision, Node: m.ID, Address: m.Address})
	}
}

// raiseRevision sets the configuration revision of an entry if the given one is higher.
func (v *View) raiseRevision(e *entry, revision int64) {
	if revision > e.member.ConfigRevision {
		e.member.ConfigRevision = revision
		v.dirty = true
	}
}

// raiseHead replaces the head if the given one has a higher revision, and reports whether it did.
func (v *View) raiseHead(h Head) bool {
	if h.Revision <= v.head.Revision {
		return false
	}
	v.head = h
	v.dirty = true
	return true
}

// refute raises the node's own incarnation above a reported one that is higher, or that is equal but not alive.
func (v *View) refute(incarnation uint64, state State) {
	if v.self.State == StateLeft || incarnation < v.self.Incarnation ||
		incarnation == v.self.Incarnation && state == StateAlive {
		return
	}
	next := v.self
	next.Incarnation = incarnation + 1
	v.setSelf(next)
}
