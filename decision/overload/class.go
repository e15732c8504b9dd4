package overload

import (
	"time"

	"azuredyke.dev/azuredyke/common/catalog"
)

// Class is the most urgent class of requests of a service.
type Class struct {
	// Priority is the lowest priority value of the routes that use the service.
	Priority int
	// Objective is the shortest time to the first event that these routes require; 0 if they require none.
	Objective time.Duration
}

// MostUrgent returns the most urgent class of a service.
func MostUrgent(service string, routes []catalog.Route) Class {
	var c Class
	found := false
	for i := range routes {
		r := &routes[i]
		if !uses(r, service) {
			continue
		}
		switch {
		case !found || r.Priority < c.Priority:
			c, found = Class{Priority: r.Priority, Objective: r.FirstByteObjective}, true
		case r.Priority == c.Priority && r.FirstByteObjective > 0 && (c.Objective == 0 || r.FirstByteObjective < c.Objective):
			c.Objective = r.FirstByteObjective
		}
	}
	return c
}

// uses reports whether a route sends requests to a service.
func uses(r *catalog.Route, service string) bool {
	for _, s := range r.Shares {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}
