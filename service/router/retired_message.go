package router

import "maps"

// retiredMessage says that an outlet has had nothing to deliver for a while.
type retiredMessage struct {
	outlet *outlet
}

func (m retiredMessage) apply(r *Router) {
	next := maps.Clone(r.outlets.Load())
	if next[m.outlet.owner.Address] == m.outlet {
		delete(next, m.outlet.owner.Address)
		r.outlets.Publish(next)
	}
}
