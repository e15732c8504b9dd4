package rollout

// NodeTallies holds the newest tally of each node for one order. When a node's process is replaced, the counts of the earlier
// process are kept. The zero value is empty. One task owns it.
type NodeTallies struct {
	newest map[string]versionedTally
	// ended is the sum of the last tallies of processes that were replaced.
	ended Tally
}

// Apply takes over a tally of a node, which the caller does not change afterwards, and reports whether it is newer than the one
// held. A late tally of an earlier process is ignored.
func (n *NodeTallies) Apply(node string, v TallyVersion, t Tally) bool {
	held, known := n.newest[node]
	if known && v.Compare(held.version) <= 0 {
		return false
	}
	if known && v.Epoch != held.version.Epoch {
		n.ended.Add(held.tally)
	}
	if n.newest == nil {
		n.newest = map[string]versionedTally{}
	}
	n.newest[node] = versionedTally{version: v, tally: t}
	return true
}

// Sum returns the sum over all nodes and processes. It shares no memory with the tallies.
func (n *NodeTallies) Sum() Tally {
	sum := n.ended.Clone()
	for _, held := range n.newest {
		sum.Add(held.tally)
	}
	return sum
}
