package settings

// EdgeLimits holds the resource limits of the process.
type EdgeLimits struct {
	// MemoryMB is the memory use above which the process is killed, in MB.
	MemoryMB int64 `yaml:"memory_mb"`
	// CPUShare is the share of a core that the process may use, and CoreSpeed the speed of that core relative to an ordinary
	// one. A share of 0 is unknown.
	CPUShare  float64 `yaml:"cpu_share"`
	CoreSpeed float64 `yaml:"core_speed"`
}

// MilliCores returns the processor capacity in thousandths of an ordinary core; 0 if it is unknown.
func (l EdgeLimits) MilliCores() int { return int(1000 * l.CPUShare * l.CoreSpeed) }
