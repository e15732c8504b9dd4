package main

// document is one object as it is written in files and shown in YAML and JSON.
type document struct {
	Kind string `yaml:"kind" json:"kind"`
	Name string `yaml:"name" json:"name"`
	// Revision is the revision that a change is made against; without it, the newest one that the server shows.
	Revision *int64         `yaml:"revision,omitempty" json:"revision,omitempty"`
	Spec     map[string]any `yaml:"spec" json:"spec"`
}
