package config

// Workspace is a tenant with its keys and limits.
type Workspace struct {
	// KeyHashes are the SHA-256 hashes of the workspace's keys, in hexadecimal.
	KeyHashes []string
	// Priority is from 0 to 9; higher is served first.
	Priority int
	// RequestsPerSecond and TokensPerSecond are 0 for no limit.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// MaxConcurrency is 0 for no limit.
	MaxConcurrency int
	// Weight is the share relative to other workspaces; 0 means 1.
	Weight float64
}
