package config

// ServiceType says which protocol the endpoints of a service speak.
type ServiceType string

// Types of services.
const (
	// ServiceModel endpoints are model engines with the OpenAI-compatible API.
	ServiceModel ServiceType = "model"
	// ServicePlain endpoints speak plain HTTP.
	ServicePlain ServiceType = "plain"
)
