package main

// document is the YAML and JSON form of an object, in input files and in output.
type document struct {
	Kind string `yaml:"kind" json:"kind"`
	Name string `yaml:"name" json:"name"`
	// Revision is the revision that a change is based on. Without it, a change is based on the newest revision at the server.
	Revision *int64         `yaml:"revision,omitempty" json:"revision,omitempty"`
	Spec     map[string]any `yaml:"spec" json:"spec"`
}
