package settings

// EdgeLimits holds the resource limits of the process.
type EdgeLimits struct {
	// MemoryMB is the memory use above which the process is killed, in MB.
	MemoryMB int64 `yaml:"memory_mb"`
}
