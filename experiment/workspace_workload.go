package experiment

// WorkspaceWorkload is one workspace of the load.
type WorkspaceWorkload struct {
	Name string `yaml:"name"`
	// Key is the workspace key.
	Key string `yaml:"key"`
	// Share is the workspace's part of the requests, relative to the others.
	Share float64 `yaml:"share"`
	// Priority is from 0 to 9; higher is served first.
	Priority int `yaml:"priority"`
}
