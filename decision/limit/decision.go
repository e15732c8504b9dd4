package limit

import "time"

// Decision is the result of WorkspaceUsage.Admit.
type Decision struct {
	Admitted bool
	// Limit names the setting of the limit that refused the request.
	Limit string
	// RetryAfter is the time until the limit may admit a request.
	RetryAfter time.Duration
}
