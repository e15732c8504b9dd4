package settings

// EdgeLimits says what the process may use.
type EdgeLimits struct {
	// MemoryMB is the size above which the process is killed, in MB.
	MemoryMB int64 `yaml:"memory_mb"`
}
