package config

// Model is a model that services offer.
type Model struct {
	Version  string
	Adapters []string
}
