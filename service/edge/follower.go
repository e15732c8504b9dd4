package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/mailbox"
)

const (
	// allKeys is the prefix of all keys: one poll for everything costs as much as one for each part.
	allKeys = ""
	// pollWait is how long a poll waits for changes. An answer without changes confirms that the node is up to date, so it
	// must be well below the time in which a revoked key must stop.
	pollWait = 1500 * time.Millisecond
	// callTimeout is how long an answer may take beyond a poll's wait. A store that is alive answers in milliseconds, and
	// in some hundred when it is slow.
	callTimeout = time.Second
	// firstPause and maxPause bound the wait after failed calls.
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
)

// follower is the task that reads the store for the view.
type follower struct {
	log   *zap.Logger
	store Store
	view  mailbox.Mailbox[viewMessage]
}

// run reads everything and then follows the changes until ctx ends. After a failure it goes on from where it was, and
// reads everything again only when the history is gone.
func (f *follower) run(ctx context.Context) {
	pause := firstPause
	position, failed := int64(0), false
	for ctx.Err() == nil {
		next, err := f.step(ctx, position)
		if err == nil {
			if failed {
				f.log.Info("store regained", zap.Int64("revision", next))
			}
			position, pause, failed = next, firstPause, false
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if backing.ErrCompacted.Has(err) {
			f.log.Info("history lost, reading everything again", zap.Int64("revision", position))
			position = 0
			continue
		}
		if !failed {
			f.log.Warn("store lost", zap.Int64("revision", position), zap.Error(err))
			_ = f.view.Send(ctx, storeLostMessage{})
		}
		failed = true
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(maxPause, 2*pause)
	}
}

// step makes one call and returns the position after it.
func (f *follower) step(ctx context.Context, position int64) (int64, error) {
	began := bootclock.Now()
	if position == 0 {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		all, err := f.store.Range(call, allKeys)
		if err != nil {
			return 0, err
		}
		return all.Revision, f.view.Send(ctx, storeReadMessage{result: all, asOf: began})
	}
	call, cancel := context.WithTimeout(ctx, pollWait+callTimeout)
	defer cancel()
	batch, err := f.store.Poll(call, allKeys, position, pollWait)
	if err != nil {
		return 0, err
	}
	return batch.Revision, f.view.Send(ctx, storeChangedMessage{batch: batch, asOf: began})
}
