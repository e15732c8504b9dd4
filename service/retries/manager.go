// Package retries keeps the retry budgets of this node.
package retries

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/retry"
)

const (
	// mailboxCapacity is the number of messages that the mailbox holds. A success that finds it full is not counted, which
	// only makes the budget smaller.
	mailboxCapacity = 1024
	// sweepInterval is the time between two removals of idle budgets.
	sweepInterval = time.Minute
)

// Manager is the task that owns the retry budgets, one for each pair of service and workspace.
type Manager struct {
	messages mailbox.Mailbox[taskMessage]
	budgets  map[Key]*retry.Budget
}

// NewManager returns a Manager without budgets.
func NewManager() *Manager {
	return &Manager{messages: mailbox.New[taskMessage](mailboxCapacity), budgets: map[Key]*retry.Budget{}}
}

// Allow reports whether one retry may be made now, and charges it to the budget. It returns false when ctx ends first.
func (m *Manager) Allow(ctx context.Context, key Key) bool {
	allowed, err := mailbox.Call(ctx, m.messages, func(reply chan<- bool) taskMessage {
		return allowMessage{key: key, reply: reply}
	})
	return err == nil && allowed
}

// RecordSuccess records a success. It does not block; when the mailbox is full, the success is not counted.
func (m *Manager) RecordSuccess(key Key) { m.messages.TrySend(successMessage{key: key}) }

// Run serves messages until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	mailbox.Serve(ctx, m.messages, sweepInterval, func(msg taskMessage) { msg.apply(m) }, m.sweep)
}

// budget returns the budget of a key and creates it if necessary.
func (m *Manager) budget(key Key) *retry.Budget {
	b, ok := m.budgets[key]
	if !ok {
		b = retry.NewBudget(time.Now())
		m.budgets[key] = b
	}
	return b
}

// sweep removes idle budgets.
func (m *Manager) sweep(now time.Time) {
	for key, b := range m.budgets {
		if b.IsRefilled(now) {
			delete(m.budgets, key)
		}
	}
}
