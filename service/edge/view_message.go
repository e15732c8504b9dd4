package edge

// viewMessage is a message to the view task.
type viewMessage interface {
	apply(v *view)
}
