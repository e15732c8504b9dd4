package catalog

// Workspace owns API keys.
type Workspace struct {
	Name string
	// Priority goes before that of the route when HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
}
