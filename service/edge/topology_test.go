package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against nodes that send their load to no relay, or to every node.
func TestTopologyNamesTheRelaysOfEachDataCentre(t *testing.T) {
	member := func(id, dc string) Member { return Member{ID: id, DataCentre: dc} }
	all := []Member{member("a1", "a"), member("a2", "a"), member("a3", "a"), member("b1", "b"), member("b2", "b"), member("b3", "b")}
	third := newTopology(all[2], append(append([]Member{}, all[:2]...), all[3:]...))
	assert.Equal(t, third.rank, -1)
	assert.DeepEqual(t, third.localRelays, all[:2])
	assert.DeepEqual(t, third.remoteRelays, all[3:5])
	second := newTopology(all[1], append([]Member{all[0], all[2]}, all[3:]...))
	assert.Equal(t, second.rank, 1)
	assert.DeepEqual(t, second.localRelays, all[:1])
	assert.DeepEqual(t, second.localNodes, []Member{all[0], all[2]})
	all[5].Capacity = 800
	assert.DeepEqual(t, newTopology(all[0], all[1:]).remoteRelays, []Member{all[5], all[3]})
	alone := newTopology(all[0], nil)
	assert.Equal(t, alone.rank, 0)
	assert.Equal(t, len(alone.localRelays)+len(alone.remoteRelays)+len(alone.localNodes), 0)
}
