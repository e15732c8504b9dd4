package configuration

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/platform"
)

// lossyKV loses the answer of every third transaction; every second one of those takes effect all the same.
type lossyKV struct {
	platform.KV
	calls chan int
}

// Commit implements platform.KV.
func (k lossyKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	n := <-k.calls
	k.calls <- n + 1
	if n%3 != 0 {
		return k.KV.Commit(ctx, txn)
	}
	if n%2 == 0 {
		_, _ = k.KV.Commit(ctx, txn)
	}
	return platform.CommitResult{}, platform.ErrUnknownOutcome.New("answer lost")
}

// forgetfulKV says that every tenth transaction was made, but does not make it: a planted fault.
type forgetfulKV struct {
	lossyKV
}

// Commit implements platform.KV.
func (k forgetfulKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	n := <-k.calls
	k.calls <- n + 1
	if n%10 == 9 {
		return platform.CommitResult{Committed: true}, nil
	}
	return k.KV.Commit(ctx, txn)
}

// carelessKV makes transactions whatever their conditions: a planted fault.
type carelessKV struct {
	platform.KV
}

// Commit implements platform.KV.
func (k carelessKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	txn.Conditions = nil
	return k.KV.Commit(ctx, txn)
}

func newCalls() chan int {
	calls := make(chan int, 1)
	calls <- 1
	return calls
}

// slowKV takes time to write, so that operators race.
type slowKV struct {
	platform.KV
}

// Commit implements platform.KV.
func (k slowKV) Commit(ctx context.Context, txn platform.Txn) (platform.CommitResult, error) {
	time.Sleep(5 * time.Millisecond)
	return k.KV.Commit(ctx, txn)
}
