package settings

import "time"

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
