package configuration

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/backing"
)

// lossyKV loses the answer of every third transaction; every second one of those takes effect all the same.
type lossyKV struct {
	backing.KV
	calls chan int
}

// Commit implements backing.KV.
func (k lossyKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	n := <-k.calls
	k.calls <- n + 1
	if n%3 != 0 {
		return k.KV.Commit(ctx, txn)
	}
	if n%2 == 0 {
		_, _ = k.KV.Commit(ctx, txn)
	}
	return backing.CommitResult{}, backing.ErrUnknownOutcome.New("answer lost")
}

// forgetfulKV says that every tenth transaction was made, but does not make it: a planted fault.
type forgetfulKV struct {
	lossyKV
}

// Commit implements backing.KV.
func (k forgetfulKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	n := <-k.calls
	k.calls <- n + 1
	if n%10 == 9 {
		return backing.CommitResult{Committed: true}, nil
	}
	return k.KV.Commit(ctx, txn)
}

// carelessKV makes transactions whatever their conditions: a planted fault.
type carelessKV struct {
	backing.KV
}

// Commit implements backing.KV.
func (k carelessKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
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
	backing.KV
}

// Commit implements backing.KV.
func (k slowKV) Commit(ctx context.Context, txn backing.Txn) (backing.CommitResult, error) {
	time.Sleep(5 * time.Millisecond)
	return k.KV.Commit(ctx, txn)
}
