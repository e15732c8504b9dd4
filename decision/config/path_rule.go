package config

// PathRule defines whether requests to a plain service may be repeated, by their method and path.
type PathRule struct {
	// Method is empty for all methods.
	Method     string
	PathPrefix string
	Repeatable bool
}
