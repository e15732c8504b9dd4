package rollout

// Cluster gives the state of the cluster as this node knows it.
type Cluster interface {
	// Watch returns the present state and a channel that is closed when it has changed.
	Watch() (*State, <-chan struct{})
}
