package membership

// taskMessage is a message to the task of an Agent.
type taskMessage interface {
	apply(a *Agent)
}
