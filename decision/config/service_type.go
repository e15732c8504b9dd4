package config

// ServiceType is the protocol of the endpoints of a service.
type ServiceType string

// Types of services.
const (
	// ServiceModel endpoints are model engines with the OpenAI-compatible API.
	ServiceModel ServiceType = "model"
	// ServicePlain endpoints are plain HTTP servers.
	ServicePlain ServiceType = "plain"
)
