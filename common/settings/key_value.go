package settings

import "time"

// Kinds of key-value service.
const (
	// KeyValueEtcd uses a service with the public etcd v3 API.
	KeyValueEtcd = "etcd"
	// KeyValueMemory keeps all data in the memory of this process. It is for development only.
	KeyValueMemory = "memory"
	// KeyValueFile reads a fixed configuration from a file, for a site with a single node. It supports neither changes of
	// the configuration nor claims.
	KeyValueFile = "file"
)

// KeyValue configures the key-value service.
type KeyValue struct {
	Kind string `yaml:"kind"`
	// Addresses lists the servers, as IP:port. They are tried in turn.
	Addresses []string `yaml:"addresses"`
	// Timeout bounds each call.
	Timeout time.Duration `yaml:"timeout"`
	// Path is the path of the file for the kind KeyValueFile.
	Path string `yaml:"path"`
}
