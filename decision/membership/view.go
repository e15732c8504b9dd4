package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// View is what one node believes about the fleet. It belongs to one task.
type View struct {
	params  Params
	random  *rand.Rand
	self    Member
	head    Head
	entries map[string]*entry
	buckets [Buckets]uint32
	// spreading counts the messages that carried the newest change of each member that is still spread.
	spreading map[string]int
	seeds     []Target
	// tried holds the seeds that were probed although nothing was known of them.
	tried    map[string]bool
	probing  probing
	nextSync time.Time
	dirty    bool
}

// NewView returns a View that knows only its own record. The incarnation of self must be higher than in an earlier life
// of the same id where possible; otherwise it is raised once another member reports the earlier one.
func NewView(self Member, p Params, random *rand.Rand) *View {
	v := &View{
		params: p.withDefaults(), random: random, entries: map[string]*entry{}, spreading: map[string]int{},
		tried: map[string]bool{}, dirty: true,
	}
	self.State = StateAlive
	v.self = self
	v.buckets[bucketOf(self.ID)] = recordHash(self)
	v.raiseHead(Head{Revision: self.ConfigRevision, Node: self.ID, Address: self.Address})
	return v
}

// Self returns the node's own record.
func (v *View) Self() Member { return v.self }

// Changed reports whether the table has changed since the last call.
func (v *View) Changed() bool {
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
	maps.DeleteFunc(v.tried, func(address string, _ bool) bool { return !listed[address] })
}

// SetLocal changes the node's own revision and holdings, and reports whether others should hear of it at once.
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

// Leave marks the node's own record as left. The change must then be pushed.
func (v *View) Leave() {
	next := v.self
	next.State = StateLeft
	v.setSelf(next)
}

func (v *View) setSelf(m Member) {
	v.buckets[bucketOf(m.ID)] ^= recordHash(v.self) ^ recordHash(m)
	v.self = m
	v.spreading[m.ID] = 0
	v.dirty = true
}

// merge applies a record, spreads it if it is new, and reports whether it should be passed on at once.
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
			v.noteRevision(e, m.ConfigRevision)
		}
		return false
	}
	if m.State == StateRemoved && e.member.State == StateAlive {
		// A member that was cut off may have removed everybody. Its word starts a suspicion, which the member can refute.
		m.State = StateSuspect
		if !m.supersedes(e.member) {
			return false
		}
	}
	if m.State == StateRemoved && e.member.State == StateSuspect && now.Sub(e.since) < v.params.RemoveAfter/2 {
		// The member has not had the time to refute. A full exchange brings the removal again.
		return false
	}
	urgent := m.State == StateLeft || m.State.Present() && !m.sameHoldings(e.member)
	v.store(now, e, m)
	return urgent
}

// store replaces the record of an entry and spreads it.
func (v *View) store(now time.Time, e *entry, m Member) {
	bucket := bucketOf(m.ID)
	if e.member.ID != "" {
		v.buckets[bucket] ^= recordHash(e.member)
	}
	v.buckets[bucket] ^= recordHash(m)
	if e.member.ID == "" || m.State != e.member.State {
		e.since, e.own = now, false
	}
	e.member = m
	v.spreading[m.ID] = 0
	v.dirty = true
	if m.State.Present() {
		v.raiseHead(Head{Revision: m.ConfigRevision, Node: m.ID, Address: m.Address})
	}
}

// noteRevision keeps the highest revision that an incarnation has reported.
func (v *View) noteRevision(e *entry, revision int64) {
	if revision > e.member.ConfigRevision {
		e.member.ConfigRevision = revision
		v.dirty = true
	}
}

// raiseHead reports whether the head is higher than the one known.
func (v *View) raiseHead(h Head) bool {
	if h.Revision <= v.head.Revision {
		return false
	}
	v.head = h
	v.dirty = true
	return true
}

// refute raises the node's own incarnation above one that others hold against it.
func (v *View) refute(incarnation uint64, state State) {
	if v.self.State == StateLeft || incarnation < v.self.Incarnation ||
		incarnation == v.self.Incarnation && state == StateAlive {
		return
	}
	next := v.self
	next.Incarnation = incarnation + 1
	v.setSelf(next)
}
