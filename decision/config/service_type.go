package config

// ServiceType is the protocol of the endpoints of a service.
type ServiceType string

// Types of services.
const (
	// ServiceTypeModel endpoints are model engines with the OpenAI-compatible API.
	ServiceTypeModel ServiceType = "model"
	// ServiceTypePlain endpoints are plain HTTP servers.
	ServiceTypePlain ServiceType = "plain"
)
