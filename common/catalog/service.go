package catalog

import "time"

// Service is a set of endpoints that run the same requests.
type Service struct {
	Name string
	// ColdStart is how long an endpoint stays cold after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests a second that a cold endpoint bears; 0 means that it is not limited.
	ColdRate float64
	// Engine describes the model engine; nil for plain services.
	Engine *Engine
}
