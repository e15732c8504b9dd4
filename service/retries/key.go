package retries

// Key names one budget.
type Key struct {
	Service   string
	Workspace string
}
