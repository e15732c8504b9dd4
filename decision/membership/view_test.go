package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"azuredyke.dev/azuredyke/common/message"
)

var start = time.Unix(1_000_000, 0)

func newView(id string) *View {
	return NewView(Member{ID: id, Address: id, DataCentre: "dc", Incarnation: 1}, Params{}, rand.New(rand.NewPCG(1, 2)))
}

func member(id string, incarnation uint64, state State) Member {
	return Member{ID: id, Address: id, DataCentre: "dc", Incarnation: incarnation, State: state}
}

// probe exchanges the messages of one probe of b by a.
func probe(now time.Time, a, b *View) {
	b.Receive(now, a.Message(b.self.ID))
	a.Receive(now, b.Message(a.self.ID))
}

func (v *View) stateOf(id string) string {
	e, ok := v.entries[id]
	if !ok {
		return "unknown"
	}
	return fmt.Sprintf("%v %d", e.member.State, e.member.Incarnation)
}

// Guards against tables that depend on the order in which changes arrive, or on repeated changes.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			m := member(rapid.SampledFrom([]string{"b", "c"}).Draw(t, "id"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				rapid.SampledFrom([]State{StateAlive, StateSuspect, StateLeft}).Draw(t, "state"))
			m.Holdings = []message.Holding{{Resource: "r", Fence: m.Incarnation}}
			return m
		}), 1, 12).Draw(t, "records")
		one, two := newView("a"), newView("a")
		for _, m := range records {
			one.merge(start, m)
		}
		for _, i := range rapid.Permutation(indices(len(records))).Draw(t, "order") {
			two.merge(start, records[i])
			two.merge(start, records[i])
		}
		assert.Equal(t, one.digest(), two.digest())
		for _, id := range []string{"b", "c"} {
			assert.Equal(t, one.stateOf(id), two.stateOf(id))
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against a digest that differs from that of the records, which would repeat full exchanges of equal tables
// without end.
func TestDigestMatchesRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView("a")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
			v.merge(start, member(id, rapid.Uint64Range(1, 5).Draw(t, "incarnation"), State(rapid.IntRange(0, 3).Draw(t, "s"))))
			v.SetLocal(1, []message.Holding{{Resource: "r", Fence: rapid.Uint64Range(1, 2).Draw(t, "fence")}})
		}
		var want [Buckets]uint32
		want[bucketOf("a")] ^= recordHash(v.self)
		for id, e := range v.entries {
			want[bucketOf(id)] ^= recordHash(e.member)
		}
		assert.Equal(t, want, v.buckets)
	})
}

// Guards against a running member that stays suspect or removed.
func TestSuspicionIsRefuted(t *testing.T) {
	for _, state := range []State{StateSuspect, StateRemoved} {
		a, b := newView("a"), newView("b")
		probe(start, a, b)
		probe(start, a, b)
		record := a.entries["b"].member
		record.State = state
		a.store(start, a.entries["b"], record)
		probe(start, a, b)
		probe(start, a, b)
		assert.Equal(t, a.stateOf("b"), "alive 2", "after %v", state)
	}
}

// Guards against a restarted node that others still regard as left, because its clock was set back and its incarnation is
// too low.
func TestRestartedNodeRaisesItsIncarnation(t *testing.T) {
	a, b := newView("a"), newView("b")
	a.merge(start, member("b", 500, StateLeft))
	probe(start, a, b)
	probe(start, a, b)
	assert.Equal(t, a.stateOf("b"), "alive 501")
}

// Guards against removal before the timeout, and against members that are never removed or whose records are never
// deleted.
func TestFailedMemberIsRemovedAfterTimeout(t *testing.T) {
	a := newView("a")
	a.merge(start, member("b", 1, StateAlive))
	a.merge(start, member("c", 1, StateAlive))
	a.merge(start, member("c", 1, StateSuspect))
	a.RecordFailure(start, "b")
	a.Tick(start.Add(DefaultRemoveAfter - 1))
	assert.Equal(t, a.stateOf("b"), "suspect 1")
	a.Tick(start.Add(DefaultRemoveAfter))
	assert.Equal(t, a.stateOf("b"), "removed 1")
	assert.Equal(t, a.stateOf("c"), "suspect 1", "a suspicion by other members has a longer timeout")
	a.Tick(start.Add(indirectRemoveFactor * DefaultRemoveAfter))
	assert.Equal(t, a.stateOf("c"), "removed 1")
	a.Tick(start.Add(DefaultRemoveAfter + DefaultRetention))
	assert.Equal(t, a.stateOf("b"), "unknown")
}

// Guards against an isolated node that removes all other members, or makes other nodes remove them.
func TestIsolatedNodeRemovesNoMember(t *testing.T) {
	a, b := newView("a"), newView("b")
	for i := range 10 {
		a.merge(start, member(fmt.Sprint("m", i), 1, StateAlive))
	}
	for i := range 10 {
		a.RecordFailure(start, fmt.Sprint("m", i))
	}
	a.Tick(start.Add(time.Hour))
	assert.Equal(t, len(a.Table().Present()), 11)
	a.RecordAnswer(start.Add(time.Hour))
	a.Tick(start.Add(time.Hour))
	assert.Equal(t, len(a.Table().Present()), 11, "members get time to answer after an isolation")
	a.RecordFailure(start, "m9")
	assert.Equal(t, a.stateOf("m9"), "suspect 1")

	b.merge(start, member("m1", 1, StateAlive))
	b.merge(start, member("m1", 1, StateRemoved))
	assert.Equal(t, b.stateOf("m1"), "suspect 1", "a reported removal first counts as a suspicion")
	b.merge(start.Add(DefaultRemoveAfter/2-1), member("m1", 1, StateRemoved))
	assert.Equal(t, b.stateOf("m1"), "suspect 1", "the member has time to refute the suspicion")
	b.merge(start.Add(DefaultRemoveAfter/2), member("m1", 1, StateRemoved))
	assert.Equal(t, b.stateOf("m1"), "removed 1")
}

// Guards against an announced departure that takes effect only after a suspicion, and against an old record that makes a
// departed member present again.
func TestLeaveIsImmediateAndFinal(t *testing.T) {
	a, b := newView("a"), newView("b")
	probe(start, a, b)
	probe(start, a, b)
	b.Leave()
	assert.Assert(t, a.Receive(start, b.Message("a")), "a departure is passed on at once")
	assert.Equal(t, a.stateOf("b"), "left 1")
	a.merge(start, member("b", 1, StateSuspect))
	assert.Equal(t, a.stateOf("b"), "left 1")
	assert.Equal(t, len(a.Table().Present()), 1)
	a.Receive(start, Message{From: "c", KnownIncarnation: 1, KnownState: StateAlive})
	b.Receive(start, Message{From: "c", KnownIncarnation: 1, KnownState: StateSuspect})
	assert.Equal(t, b.self.State, StateLeft)
}

// Guards against messages that grow with the fleet, and against updates that are never sent or sent without end.
func TestUpdatesAreBoundedAndAllSent(t *testing.T) {
	a := newView("a")
	for i := range 500 {
		a.merge(start, member(fmt.Sprint("member-", i), 1, StateAlive))
	}
	sent := map[string]int{}
	for a.entries["member-0"].ackedIncarnation = 1; len(a.pending) > 1; {
		size := 0
		m := a.Message("member-0")
		for _, u := range m.Updates {
			size += u.size()
			sent[u.ID]++
		}
		assert.Assert(t, size <= DefaultMessageBytes, "%d bytes", size)
		assert.Assert(t, len(m.Updates) > 0)
		delete(a.pending, "member-0")
	}
	assert.Equal(t, len(sent), 499)
	for id, n := range sent {
		assert.Equal(t, n, retransmitFactor*3, id)
	}
}

// Guards against a lost update that is never repaired, and against a reply that exceeds its bound.
func TestFullExchangeRepairsLostChanges(t *testing.T) {
	a, b := newView("a"), newView("b")
	for i := range 1000 {
		view := a
		if i%2 == 0 {
			view = b
		}
		view.merge(start, member(fmt.Sprint("member-", i), 1, StateAlive))
	}
	a.merge(start, member("member-0", 1, StateRemoved))
	clear(a.pending)
	clear(b.pending)
	rounds, more := 0, false
	for a.digest() != b.digest() {
		rounds++
		now := start.Add(time.Duration(rounds) * time.Second)
		assert.Assert(t, rounds < 100)
		assert.Equal(t, a.StartSyncIfDue(now, b.Message("a")), true)
		reply := b.SyncReply(a.SyncRequest())
		size := 0
		for _, m := range reply.Updates {
			size += m.size()
		}
		assert.Assert(t, size <= DefaultSyncBytes, "%d bytes", size)
		more = more || reply.More
		missing, _ := a.FinishSync(now, reply)
		b.Receive(now, Message{From: "a", Updates: missing})
		a.nextSync = now
	}
	assert.Assert(t, more, "a truncated reply has More set")
	// Both tables contain the 1,000 members and both nodes, and the removal was not reverted.
	assert.Equal(t, len(a.Table().Present()), 1001)
	assert.Equal(t, a.stateOf("member-0"), "removed 1")
	assert.Equal(t, b.stateOf("member-0"), "removed 1")
	assert.Equal(t, a.StartSyncIfDue(start, b.Message("a")), false)
}
