package settings

import "time"

// Limits bounds the input of callers and operators.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64 `yaml:"body_bytes"`
	// HeaderTimeout bounds the time to read a request's headers.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// BodyTimeout bounds the time to read a request's body.
	BodyTimeout time.Duration `yaml:"body_timeout"`
	// OpenRequests bounds the caller requests open at once on this node.
	OpenRequests int `yaml:"open_requests"`
}
