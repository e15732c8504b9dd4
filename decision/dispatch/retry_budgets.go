package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/retry"
)

// RecordRequest counts a new request of a service, on which its retry budget depends.
func (t *Table) RecordRequest(now time.Time, service string) {
	t.retryBudget(service).RecordRequest(now)
}

func (t *Table) retryBudget(service string) *retry.WindowBudget {
	b := t.budgets[service]
	if b == nil {
		b = retry.NewWindowBudget(t.params.RetryWindow)
		t.budgets[service] = b
	}
	return b
}
