package rollout

// testProcess holds the tasks of one process of a testNode.
type testProcess struct {
	manager *Manager
	decider *Decider
}
