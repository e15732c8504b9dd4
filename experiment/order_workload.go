package experiment

// OrderWorkload describes the calls to a plain service.
type OrderWorkload struct {
	Service string `yaml:"service"`
	// PerSecond is the mean arrival rate of the calls.
	PerSecond float64 `yaml:"per_second"`
	// UnrepeatableShare is the share of calls that must not run twice, from 0 to 1. Each has its own Idempotency-Key.
	UnrepeatableShare float64 `yaml:"unrepeatable_share"`
	// ResendShare is the share of unrepeatable calls that the caller sends twice with the same key, from 0 to 1.
	ResendShare float64 `yaml:"resend_share"`
}
