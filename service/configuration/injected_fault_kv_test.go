package configuration

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// answerLosingKV loses the answer to every third transaction. Every second one of these transactions takes effect.
type answerLosingKV struct {
	backing.KV
	callCount chan int
}

// Commit implements backing.KV.
func (k answerLosingKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	n := <-k.callCount
	k.callCount <- n + 1
	if n%3 != 0 {
		return k.KV.Commit(ctx, txn)
	}
	if n%2 == 0 {
		_, _ = k.KV.Commit(ctx, txn)
	}
	return backing.CommitResult{}, backing.ErrUnknownOutcome.New("answer lost")
}

// writeDroppingKV injects a fault: it reports every tenth transaction as committed without committing it.
type writeDroppingKV struct {
	answerLosingKV
}

// Commit implements backing.KV.
func (k writeDroppingKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	n := <-k.callCount
	k.callCount <- n + 1
	if n%10 == 9 {
		return backing.CommitResult{Committed: true}, nil
	}
	return k.KV.Commit(ctx, txn)
}

// conditionIgnoringKV injects a fault: it commits transactions without checking their conditions.
type conditionIgnoringKV struct {
	backing.KV
}

// Commit implements backing.KV.
func (k conditionIgnoringKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	txn.Conditions = nil
	return k.KV.Commit(ctx, txn)
}

func newCallCount() chan int {
	calls := make(chan int, 1)
	calls <- 1
	return calls
}

// slowKV delays each transaction, so that operators race.
type slowKV struct {
	backing.KV
}

// Commit implements backing.KV.
func (k slowKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	time.Sleep(5 * time.Millisecond)
	return k.KV.Commit(ctx, txn)
}
