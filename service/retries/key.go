package retries

// Key identifies one retry budget.
type Key struct {
	Service   string
	Workspace string
}
