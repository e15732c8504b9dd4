package placement

import "slices"

// ModelFilter permits the endpoints that have loaded the request's model. An endpoint that lists no models is assumed to have
// loaded all models of its service.
type ModelFilter struct{}

// Permits implements Filter.
func (ModelFilter) Permits(r *Request, c *Candidate) bool {
	return r.Model == "" || len(c.Models) == 0 || slices.Contains(c.Models, r.Model)
}
