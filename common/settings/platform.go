package settings

import "time"

// Platform says how the platform's services are reached.
type Platform struct {
	KeyValue KeyValue         `yaml:"key_value"`
	HostList HostListSettings `yaml:"host_list"`
}

// Kinds of key-value service.
const (
	// KeyValueEtcd speaks the published etcd v3 API.
	KeyValueEtcd = "etcd"
	// KeyValueMemory keeps everything in this process; for development only.
	KeyValueMemory = "memory"
	// KeyValueFile reads a fixed configuration from a file, for a site with a single node; nothing can be changed or
	// claimed.
	KeyValueFile = "file"
)

// KeyValue says how the key-value service is reached.
type KeyValue struct {
	Kind string `yaml:"kind"`
	// Addresses are tried in turn, as IP:port.
	Addresses []string `yaml:"addresses"`
	// Timeout bounds each call.
	Timeout time.Duration `yaml:"timeout"`
	// Path is the file of the kind "file".
	Path string `yaml:"path"`
}

// Kinds of host list.
const (
	// HostListHTTP reads Prometheus HTTP service-discovery JSON from a URL.
	HostListHTTP = "http"
	// HostListFile reads the same JSON from a file.
	HostListFile = "file"
)

// HostListSettings says how the list of hosts is read.
type HostListSettings struct {
	Kind     string        `yaml:"kind"`
	URL      string        `yaml:"url"`
	Path     string        `yaml:"path"`
	Interval time.Duration `yaml:"interval"`
}
