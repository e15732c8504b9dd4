// Package retries holds the retry budgets of this node.
package retries

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/retry"
)

const (
	// capacity bounds the waiting messages. Successes beyond it are not counted, which only makes the budget smaller.
	capacity = 1024
	// sweepInterval is how often budgets that are not used are forgotten.
	sweepInterval = time.Minute
)

// Keeper is the task that owns the retry budgets, one for each service and workspace.
type Keeper struct {
	messages mailbox.Mailbox[keeperMessage]
	budgets  map[Key]*retry.Budget
}

// NewKeeper returns a Keeper without budgets.
func NewKeeper() *Keeper {
	return &Keeper{messages: mailbox.New[keeperMessage](capacity), budgets: map[Key]*retry.Budget{}}
}

// Allow reports whether one retry may be made now, and charges it.
func (k *Keeper) Allow(ctx context.Context, key Key) bool {
	allowed, err := mailbox.Call(ctx, k.messages, func(reply chan<- bool) keeperMessage {
		return takeMessage{key: key, reply: reply}
	})
	return err == nil && allowed
}

// Succeeded records a success without waiting.
func (k *Keeper) Succeeded(key Key) { k.messages.TrySend(successMessage{key: key}) }

// Run serves messages until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.messages.Receive():
			m.apply(k)
		case now := <-ticker.C:
			k.sweep(now)
		}
	}
}

func (k *Keeper) budget(key Key) *retry.Budget {
	b, ok := k.budgets[key]
	if !ok {
		b = retry.NewBudget(time.Now())
		k.budgets[key] = b
	}
	return b
}

func (k *Keeper) sweep(now time.Time) {
	for key, b := range k.budgets {
		if b.Idle(now) {
			delete(k.budgets, key)
		}
	}
}
