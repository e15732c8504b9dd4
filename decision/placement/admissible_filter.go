package placement

// AdmissibleFilter permits the endpoints whose state and limit allow one more request.
type AdmissibleFilter struct{}

// Permits implements Filter.
func (AdmissibleFilter) Permits(_ *Request, c *Candidate) bool { return c.Admits }
