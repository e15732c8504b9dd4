package membership

// taskMessage is a message to a Task.
type taskMessage interface {
	apply(t *Agent)
}
