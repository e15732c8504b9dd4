package config

// Workspace is a tenant with its keys and limits.
type Workspace struct {
	// KeyHashes are the SHA-256 hashes of the workspace's keys, in lower-case hexadecimal.
	KeyHashes []string
	// Priority is from 0 to 9. Requests of a higher priority are served first.
	Priority int
	// RequestsPerSecond and TokensPerSecond limit the rates of requests and tokens. 0 means no limit.
	RequestsPerSecond float64
	TokensPerSecond   float64
	// MaxConcurrency is the maximum number of concurrent requests. 0 means no limit.
	MaxConcurrency int
	// Weight is the share of capacity relative to other workspaces. 0 means 1.
	Weight float64
}
