package router

// receptionMessage is a message to the task of a Reception.
type receptionMessage interface {
	apply(r *Reception)
}
