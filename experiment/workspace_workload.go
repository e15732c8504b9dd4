package experiment

// WorkspaceWorkload is the part of the load from one workspace.
type WorkspaceWorkload struct {
	Name string `yaml:"name"`
	// Key is the workspace key that its requests present.
	Key string `yaml:"key"`
	// Share is the weight of the workspace among all workspaces when requests are drawn.
	Share float64 `yaml:"share"`
	// Priority is from 0 to 9; higher is served first.
	Priority int `yaml:"priority"`
}
