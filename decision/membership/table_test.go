package membership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/common/message"
)

// Guards against requests that are sent to a previous owner of a cell.
func TestOwnerHasTheHighestFence(t *testing.T) {
	v := newView("a")
	v.SetLocal(1, []message.Holding{{Resource: "cell", Fence: 1}})
	for fence, state := range map[uint64]State{2: StateAlive, 3: StateSuspect, 4: StateLeft, 5: StateRemoved} {
		m := member(fmt.Sprint("m", fence), 1, state)
		m.Holdings = []message.Holding{{Resource: "cell", Fence: fence}}
		v.merge(start, m)
	}
	h, ok := v.Table().Owner("cell")
	assert.Assert(t, ok)
	assert.DeepEqual(t, h, message.Holding{Resource: "cell", Node: "m3", Address: "m3", Fence: 3})
	_, ok = v.Table().Owner("other")
	assert.Assert(t, !ok)
}

// Guards against relays that differ between nodes, are in another data centre, or all change when one member fails.
func TestRelaysAreStable(t *testing.T) {
	v := newView("a")
	for i := range 20 {
		v.merge(start, member(fmt.Sprint("m", i), 1, StateAlive))
		other := member(fmt.Sprint("o", i), 1, StateAlive)
		other.DataCentre = "other"
		v.merge(start, other)
	}
	before := v.Table().Relays("dc")
	assert.Equal(t, len(before), RelayCount)
	for _, m := range before {
		assert.Equal(t, m.DataCentre, "dc")
	}
	v.merge(start, member(before[0].ID, before[0].Incarnation, StateSuspect))
	after := v.Table().Relays("dc")
	assert.Equal(t, after[0].ID, before[1].ID)
	assert.Equal(t, after[1].ID, before[2].ID)
}

// Guards against requests for the newest configuration to a member that has left.
func TestNewestHeadIsPresent(t *testing.T) {
	v := newView("a")
	b, c := member("b", 1, StateAlive), member("c", 1, StateAlive)
	b.ConfigRevision, c.ConfigRevision = 7, 9
	v.merge(start, b)
	v.merge(start, c)
	assert.Equal(t, v.Table().NewestHead().Node, "c")
	v.merge(start, member("c", 1, StateLeft))
	assert.DeepEqual(t, v.Table().NewestHead(), Head{Revision: 7, Node: "b", Address: "b"})
}

// Guards against a higher revision that is not passed on at once, or is passed on more than once.
func TestHigherRevisionIsUrgentOnce(t *testing.T) {
	a, b := newView("a"), newView("b")
	assert.Assert(t, a.SetLocal(5, nil))
	assert.Assert(t, !a.SetLocal(5, nil))
	assert.Assert(t, b.Receive(start, a.Message("b")))
	assert.Assert(t, !b.Receive(start, a.Message("b")))
	assert.Equal(t, b.Table().NewestHead().Revision, int64(5))
}
