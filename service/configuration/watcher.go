package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/decision/config"
)

const (
	// loadTimeout bounds one read of the whole configuration.
	loadTimeout = 5 * time.Second
	// retryDelay is the mean wait after a failed read; the actual wait is drawn from half to one and a half of it, so that
	// nodes do not return to a recovering service all at once.
	retryDelay = time.Second
	// headInterval is the time between two looks at the head, which notice a watch that has stalled without breaking and a
	// service that was restored. With 27 relays these are 6 reads a second.
	headInterval = 5 * time.Second
)

// Watcher is the task that follows the configuration in the key-value service while this node is a relay, and offers each
// new revision to a Keeper.
type Watcher struct {
	log    *zap.Logger
	store  store
	keeper *Keeper
	relay  *latest.Value[bool]
	// restored is the stored revision that was last reported as restored to an older state.
	restored int64
}

// NewWatcher returns a Watcher that always follows the service.
func NewWatcher(log *zap.Logger, kv backing.KV, keeper *Keeper) *Watcher {
	return NewRelayWatcher(log, kv, keeper, latest.New(true))
}

// NewRelayWatcher returns a Watcher that follows the service while relay holds true.
func NewRelayWatcher(log *zap.Logger, kv backing.KV, keeper *Keeper, relay *latest.Value[bool]) *Watcher {
	return &Watcher{log: log, store: newStore(kv), keeper: keeper, relay: relay, restored: -1}
}

// Read reads the configuration of the key-value service once. The error is a *config.RestoredError when it is older than
// the one in force.
func (w *Watcher) Read(ctx context.Context) (*config.Snapshot, error) {
	current, err := w.load(ctx)
	return current.snapshot, err
}

// Run follows the configuration until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		relay, changed := w.relay.Watch()
		if !relay {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		w.runRelay(ctx, changed)
	}
}

// runRelay follows the service until the node may have ceased to be a relay.
func (w *Watcher) runRelay(ctx context.Context, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	defer func() { <-ended }()
	go func() {
		defer close(ended)
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	defer cancel()
	for ctx.Err() == nil {
		if err := w.follow(ctx); err != nil && ctx.Err() == nil {
			w.report(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		}
	}
}

// report logs why the service is not followed; a restored state is logged once for each revision.
func (w *Watcher) report(err error) {
	if restored, ok := asRestored(err); ok {
		if restored.Stored != w.restored {
			w.log.Error("configuration restored to an older state, not followed",
				zap.Int64("revision", restored.InForce), zap.Int64("restored", restored.Stored))
		}
		w.restored = restored.Stored
		return
	}
	w.log.Warn("configuration watch broke", zap.Error(err))
}

// follow reads the configuration and then applies each change of it, until the watch breaks.
func (w *Watcher) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	current, err := w.load(ctx)
	if err != nil {
		return err
	}
	w.restored = -1
	snapshot := current.snapshot
	if err := w.keeper.Offer(ctx, Offer{Snapshot: snapshot}); err != nil {
		return err
	}
	batches, err := w.store.kv.Watch(ctx, prefix, current.storeRevision+1)
	if err != nil {
		return err
	}
	behind := int64(-1)
	look := time.NewTicker(headInterval)
	defer look.Stop()
	for {
		select {
		case batch, ok := <-batches:
			if !ok {
				return Error.New("watch closed")
			}
			if snapshot, err = w.next(ctx, snapshot, batch); err != nil {
				return err
			}
			if err := w.keeper.Offer(ctx, Offer{Snapshot: snapshot}); err != nil {
				return err
			}
		case <-look.C:
			if behind, err = w.look(ctx, snapshot.Revision(), behind); err != nil {
				return err
			}
		}
	}
}

// next returns the snapshot after a batch.
func (w *Watcher) next(ctx context.Context, s *config.Snapshot, batch backing.WatchBatch) (*config.Snapshot, error) {
	next, err := applyBatch(s, batch)
	if errReadAgain.Has(err) {
		current, err := w.load(ctx)
		return current.snapshot, err
	}
	return next, err
}

// load reads the whole configuration and compares it with the floor from before the read.
func (w *Watcher) load(ctx context.Context) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	floor := w.keeper.floor()
	current, err := w.store.load(ctx)
	if err != nil {
		return stored{}, err
	}
	if revision := current.snapshot.Revision(); revision < floor {
		return stored{}, &config.RestoredError{InForce: floor, Stored: revision}
	}
	return current, nil
}

// look compares the head with the newest revision that the watch has shown. It returns that revision when the watch is
// behind, and -1 otherwise. The watch is given one interval to catch up, since an event may be on its way.
func (w *Watcher) look(ctx context.Context, seen, behind int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	h, err := w.store.readHead(ctx)
	switch {
	case err != nil:
		return -1, err
	case h.Revision < seen:
		return -1, &config.RestoredError{InForce: seen, Stored: h.Revision}
	case h.Revision == seen:
		return -1, nil
	case seen == behind:
		return -1, Error.New("the watch stays at revision %d while the head is at %d", seen, h.Revision)
	default:
		return seen, nil
	}
}
