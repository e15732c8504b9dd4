package placement

import "slices"

// ExcludeFilter leaves out the endpoints that earlier attempts of the request failed on.
type ExcludeFilter struct{}

// Permits implements Filter.
func (ExcludeFilter) Permits(r *Request, c *Candidate) bool {
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, c.ID)
}
