package settings

import "time"

// Kinds of host list.
const (
	// HostListHTTP reads Prometheus HTTP service-discovery JSON from a URL.
	HostListHTTP = "http"
	// HostListFile reads the same JSON from a file.
	HostListFile = "file"
)

// HostList configures the source of the host list.
type HostList struct {
	Kind     string        `yaml:"kind"`
	URL      string        `yaml:"url"`
	Path     string        `yaml:"path"`
	Interval time.Duration `yaml:"interval"`
}
