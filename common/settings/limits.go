package settings

import "time"

// Limits bounds the requests of callers and operators.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64 `yaml:"body_bytes"`
	// HeaderTimeout bounds the time to read a request's headers.
	HeaderTimeout time.Duration `yaml:"header_timeout"`
	// BodyTimeout bounds the time to read a request's body.
	BodyTimeout time.Duration `yaml:"body_timeout"`
	// OpenRequests is the maximum number of concurrent caller requests on this node.
	OpenRequests int `yaml:"open_requests"`
}
