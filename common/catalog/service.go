package catalog

import "time"

// Service is a set of endpoints that run the same requests.
type Service struct {
	Name string
	// ColdStart is the time for which an endpoint stays cold after its start.
	ColdStart time.Duration
	// ColdRate limits the requests per second to a cold endpoint; 0 means no limit.
	ColdRate float64
	// Engine describes the model engines; it is nil for plain services.
	Engine *Engine
}
