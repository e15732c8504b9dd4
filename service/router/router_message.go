package router

// routerMessage is a message to the task of a Router.
type routerMessage interface {
	apply(r *Router)
}
