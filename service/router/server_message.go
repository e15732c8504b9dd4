package router

// serverMessage is a message to the task of a Server.
type serverMessage interface {
	apply(r *Server)
}
