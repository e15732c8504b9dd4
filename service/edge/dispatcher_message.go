package edge

// dispatcherMessage is a message to the dispatcher task.
type dispatcherMessage interface {
	apply(d *dispatcher)
}
