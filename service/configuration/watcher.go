package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/platform"
)

const (
	// loadTimeout bounds one read of the whole configuration.
	loadTimeout = 5 * time.Second
	// retryDelay is the mean wait after a failed read; the actual wait is drawn from half to one and a half of it, so that
	// nodes do not return to a recovering service all at once.
	retryDelay = time.Second
)

// Watcher is the task that follows the configuration in the key-value service and offers each new revision to a Keeper.
type Watcher struct {
	log    *zap.Logger
	store  store
	keeper *Keeper
}

// NewWatcher returns a Watcher.
func NewWatcher(log *zap.Logger, kv platform.KV, keeper *Keeper) *Watcher {
	return &Watcher{log: log, store: store{kv: kv}, keeper: keeper}
}

// Run follows the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := w.follow(ctx); err != nil && ctx.Err() == nil {
			w.log.Warn("configuration watch broke", zap.Error(err))
		}
		wait := retryDelay/2 + rand.N(retryDelay)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// follow reads the configuration and then reads it again after each change of its head, until the watch breaks.
func (w *Watcher) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	revision, err := w.offer(ctx)
	if err != nil {
		return err
	}
	batches, err := w.store.kv.Watch(ctx, headKey, revision+1)
	if err != nil {
		return err
	}
	for batch := range batches {
		if batch.Err != nil {
			return batch.Err
		}
		if _, err := w.offer(ctx); err != nil {
			return err
		}
	}
	return Error.New("watch closed")
}

// offer reads the configuration and returns the store's revision that it was read at.
func (w *Watcher) offer(ctx context.Context) (int64, error) {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	current, err := w.store.load(loadCtx)
	if err != nil {
		return 0, err
	}
	return current.storeRevision, w.keeper.Offer(ctx, Offer{Snapshot: current.snapshot, FromPlatform: true})
}
