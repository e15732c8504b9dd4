package config

// PathRule says whether the requests of some paths of a plain service may be repeated.
type PathRule struct {
	// Method is empty for all methods.
	Method     string
	PathPrefix string
	Repeatable bool
}
