package catalog

// Workspace is a tenant that owns API keys.
type Workspace struct {
	Name string
	// Priority overrides the priority of the route when HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
}
