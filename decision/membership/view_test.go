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

// exchange runs one probe of b by a.
func exchange(now time.Time, a, b *View) {
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

// Guards against tables that depend on the order or the number of times in which changes arrive.
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

// Guards against a digest that drifts from the records, after which equal tables would be exchanged for ever.
func TestDigestIsThatOfTheRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView("a")
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
			v.merge(start, member(id, rapid.Uint64Range(1, 5).Draw(t, "incarnation"), State(rapid.IntRange(0, 3).Draw(t, "s"))))
			v.SetLocal(1, []message.Holding{{Resource: "r", Fence: rapid.Uint64Range(1, 2).Draw(t, "fence")}})
		}
		var fresh [Buckets]uint32
		fresh[bucketOf("a")] ^= recordHash(v.self)
		for id, e := range v.entries {
			fresh[bucketOf(id)] ^= recordHash(e.member)
		}
		assert.Equal(t, fresh, v.buckets)
	})
}

// Guards against a running member that stays suspect or removed.
func TestSuspicionIsRefuted(t *testing.T) {
	for _, state := range []State{StateSuspect, StateRemoved} {
		a, b := newView("a"), newView("b")
		exchange(start, a, b)
		exchange(start, a, b)
		held := a.entries["b"].member
		held.State = state
		a.store(start, a.entries["b"], held)
		exchange(start, a, b)
		exchange(start, a, b)
		assert.Equal(t, a.stateOf("b"), "alive 2", "after %v", state)
	}
}

// Guards against a restarted node whose clock was set back and which others keep for gone.
func TestRestartedNodeRaisesItsIncarnation(t *testing.T) {
	a, b := newView("a"), newView("b")
	a.merge(start, member("b", 500, StateLeft))
	exchange(start, a, b)
	exchange(start, a, b)
	assert.Equal(t, a.stateOf("b"), "alive 501")
}

// Guards against removal before the stated time, and against members that are never removed or never forgotten.
func TestFailedMemberIsRemovedAfterTheStatedTime(t *testing.T) {
	a := newView("a")
	a.merge(start, member("b", 1, StateAlive))
	a.merge(start, member("c", 1, StateAlive))
	a.merge(start, member("c", 1, StateSuspect))
	a.Failed(start, "b")
	a.Tick(start.Add(DefaultRemoveAfter - 1))
	assert.Equal(t, a.stateOf("b"), "suspect 1")
	a.Tick(start.Add(DefaultRemoveAfter))
	assert.Equal(t, a.stateOf("b"), "removed 1")
	assert.Equal(t, a.stateOf("c"), "suspect 1", "a suspicion by others takes longer")
	a.Tick(start.Add(removeFactor * DefaultRemoveAfter))
	assert.Equal(t, a.stateOf("c"), "removed 1")
	a.Tick(start.Add(DefaultRemoveAfter + DefaultRetention))
	assert.Equal(t, a.stateOf("b"), "unknown")
}

// Guards against a node that is cut off and removes everybody, or makes others do so.
func TestIsolatedNodeJudgesNoOne(t *testing.T) {
	a, b := newView("a"), newView("b")
	for i := range 10 {
		a.merge(start, member(fmt.Sprint("m", i), 1, StateAlive))
	}
	for i := range 10 {
		a.Failed(start, fmt.Sprint("m", i))
	}
	a.Tick(start.Add(time.Hour))
	assert.Equal(t, len(a.Table().Present()), 11)
	a.Answered(start.Add(time.Hour))
	a.Tick(start.Add(time.Hour))
	assert.Equal(t, len(a.Table().Present()), 11, "members that could not be heard have time to answer")
	a.Failed(start, "m9")
	assert.Equal(t, a.stateOf("m9"), "suspect 1")

	b.merge(start, member("m1", 1, StateAlive))
	b.merge(start, member("m1", 1, StateRemoved))
	assert.Equal(t, b.stateOf("m1"), "suspect 1", "a removal by others is a suspicion first")
	b.merge(start.Add(DefaultRemoveAfter/2-1), member("m1", 1, StateRemoved))
	assert.Equal(t, b.stateOf("m1"), "suspect 1", "the member has time to refute")
	b.merge(start.Add(DefaultRemoveAfter/2), member("m1", 1, StateRemoved))
	assert.Equal(t, b.stateOf("m1"), "removed 1")
}

// Guards against an announced leave that waits for a suspicion, and against a member that comes back from it by an old
// record.
func TestLeaveIsImmediateAndFinal(t *testing.T) {
	a, b := newView("a"), newView("b")
	exchange(start, a, b)
	exchange(start, a, b)
	b.Leave()
	assert.Assert(t, a.Receive(start, b.Message("a")), "a leave is passed on at once")
	assert.Equal(t, a.stateOf("b"), "left 1")
	a.merge(start, member("b", 1, StateSuspect))
	assert.Equal(t, a.stateOf("b"), "left 1")
	assert.Equal(t, len(a.Table().Present()), 1)
	a.Receive(start, Message{From: "c", KnownIncarnation: 1, KnownState: StateAlive})
	b.Receive(start, Message{From: "c", KnownIncarnation: 1, KnownState: StateSuspect})
	assert.Equal(t, b.self.State, StateLeft)
}

// Guards against messages that grow with the fleet and against changes that are never sent or sent for ever.
func TestUpdatesAreBoundedAndAllSent(t *testing.T) {
	a := newView("a")
	for i := range 500 {
		a.merge(start, member(fmt.Sprint("member-", i), 1, StateAlive))
	}
	sent := map[string]int{}
	for a.entries["member-0"].knowsMe = 1; len(a.spreading) > 1; {
		size := 0
		m := a.Message("member-0")
		for _, u := range m.Updates {
			size += u.size()
			sent[u.ID]++
		}
		assert.Assert(t, size <= DefaultMessageBytes, "%d bytes", size)
		assert.Assert(t, len(m.Updates) > 0)
		delete(a.spreading, "member-0")
	}
	assert.Equal(t, len(sent), 499)
	for id, n := range sent {
		assert.Equal(t, n, spreadFactor*3, id)
	}
}

// Guards against a change that is lost on the way and never repaired, and against an exchange larger than its bound.
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
	clear(a.spreading)
	clear(b.spreading)
	rounds, more := 0, false
	for a.digest() != b.digest() {
		rounds++
		now := start.Add(time.Duration(rounds) * time.Second)
		assert.Assert(t, rounds < 100)
		assert.Equal(t, a.SyncDue(now, b.Message("a")), true)
		reply := b.SyncReply(a.SyncRequest())
		size := 0
		for _, m := range reply.Updates {
			size += m.size()
		}
		assert.Assert(t, size <= DefaultSyncBytes, "%d bytes", size)
		more = more || reply.More
		lacking, _ := a.FinishSync(now, reply)
		b.Receive(now, Message{From: "a", Updates: lacking})
		a.nextSync = now
	}
	assert.Assert(t, more, "a reply that is cut off says so")
	// Both know all 1,000 and each other, and the removal was not undone.
	assert.Equal(t, len(a.Table().Present()), 1001)
	assert.Equal(t, a.stateOf("member-0"), "removed 1")
	assert.Equal(t, b.stateOf("member-0"), "removed 1")
	assert.Equal(t, a.SyncDue(start, b.Message("a")), false)
}
