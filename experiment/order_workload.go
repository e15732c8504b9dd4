package experiment

// OrderWorkload describes calls to a plain service.
type OrderWorkload struct {
	Service string `yaml:"service"`
	// PerSecond is the mean arrival rate of the calls.
	PerSecond float64 `yaml:"per_second"`
	// UnrepeatableShare is the share of calls that may not be repeated, from 0 to 1; each has its own Idempotency-Key.
	UnrepeatableShare float64 `yaml:"unrepeatable_share"`
	// ResendShare is the share of unrepeatable calls that the caller sends a second time with the same key.
	ResendShare float64 `yaml:"resend_share"`
}
