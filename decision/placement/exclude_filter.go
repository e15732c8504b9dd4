package placement

import "slices"

// ExcludeFilter rejects the endpoints that the request excludes, such as those on which an earlier attempt failed.
type ExcludeFilter struct{}

// Permits implements Filter.
func (ExcludeFilter) Permits(r *Request, c *Candidate) bool {
	return len(r.Exclude) == 0 || !slices.Contains(r.Exclude, c.ID)
}
