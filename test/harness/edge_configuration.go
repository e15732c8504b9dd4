package harness

// EdgeConfiguration is what tests vary in the configuration of an EdgeSite.
type EdgeConfiguration struct {
	// Keys are those of the workspace.
	Keys []string
	// Added are the names of further routes, which may be repeated.
	Added []string
	// ColdRate is the number of requests a second that a cold engine bears.
	ColdRate float64
}
