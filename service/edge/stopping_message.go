package edge

// stoppingMessage says that the node is stopping: requests that are held go to an engine or are refused now.
type stoppingMessage struct{}

func (stoppingMessage) apply(d *dispatcher) {
	d.queue.Stop()
	d.retryWaiting()
}
