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
	// loadTimeout limits one read of the configuration or of its head.
	loadTimeout = 5 * time.Second
	// retryDelay is the mean wait after a broken watch or a failed read. The actual wait is random, from half to one and a half
	// of it, so that nodes do not reconnect to a recovering service all at once.
	retryDelay = time.Second
	// headCheckInterval is the time between two reads of the head, which detect a watch that has stalled without an error and
	// a service that was restored to an older state. With 27 relays these are 6 reads a second.
	headCheckInterval = 5 * time.Second
)

// Watcher is the task that watches the configuration in the key-value service while this node is a relay, and offers each
// new revision to a Manager.
type Watcher struct {
	log     *zap.Logger
	store   store
	manager *Manager
	relay   *latest.Value[bool]
	// reportedRestore is the stored revision of the last logged restore to an older state; -1 if none was logged.
	reportedRestore int64
}

// NewWatcher returns a Watcher that always watches the service.
func NewWatcher(log *zap.Logger, kv backing.KV, manager *Manager) *Watcher {
	return NewRelayWatcher(log, kv, manager, latest.New(true))
}

// NewRelayWatcher returns a Watcher that watches the service while relay holds true.
func NewRelayWatcher(log *zap.Logger, kv backing.KV, manager *Manager, relay *latest.Value[bool]) *Watcher {
	return &Watcher{log: log, store: newStore(kv), manager: manager, relay: relay, reportedRestore: -1}
}

// Read reads the configuration from the key-value service. The error is a *config.RestoredError if the stored configuration
// is older than the one in force on this node or the newest one that peers have reported.
func (w *Watcher) Read(ctx context.Context) (*config.Snapshot, error) {
	current, err := w.load(ctx)
	return current.snapshot, err
}

// Run watches the configuration until ctx ends.
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
		w.followWhileRelay(ctx, changed)
	}
}

// followWhileRelay watches the service, with retries, until changed is closed or ctx ends.
func (w *Watcher) followWhileRelay(ctx context.Context, changed <-chan struct{}) {
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
			w.logFollowError(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay/2 + rand.N(retryDelay)):
		}
	}
}

// logFollowError logs an error of follow. A restore to an older state is logged once for each stored revision.
func (w *Watcher) logFollowError(err error) {
	if restored, ok := asRestored(err); ok {
		if restored.Stored != w.reportedRestore {
			w.log.Error("configuration restored to an older state, not followed",
				zap.Int64("revision", restored.InForce), zap.Int64("restored", restored.Stored))
		}
		w.reportedRestore = restored.Stored
		return
	}
	w.log.Warn("configuration watch broke", zap.Error(err))
}

// follow reads the configuration, and then watches it and applies each change until an error occurs or ctx ends.
func (w *Watcher) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	current, err := w.load(ctx)
	if err != nil {
		return err
	}
	w.reportedRestore = -1
	snapshot := current.snapshot
	if err := w.manager.Offer(ctx, Offer{Snapshot: snapshot}); err != nil {
		return err
	}
	batches, err := w.store.kv.Watch(ctx, configPrefix, current.storeRevision+1)
	if err != nil {
		return err
	}
	laggingAt := int64(-1)
	headTicker := time.NewTicker(headCheckInterval)
	defer headTicker.Stop()
	for {
		select {
		case batch, ok := <-batches:
			if !ok {
				return Error.New("watch closed")
			}
			if snapshot, err = w.applyNext(ctx, snapshot, batch); err != nil {
				return err
			}
			if err := w.manager.Offer(ctx, Offer{Snapshot: snapshot}); err != nil {
				return err
			}
		case <-headTicker.C:
			if laggingAt, err = w.checkHead(ctx, snapshot.Revision(), laggingAt); err != nil {
				return err
			}
		}
	}
}

// applyNext returns the snapshot after a batch, which it reloads if the batch cannot be applied.
func (w *Watcher) applyNext(ctx context.Context, s *config.Snapshot, batch backing.WatchBatch) (*config.Snapshot, error) {
	next, err := applyBatch(s, batch)
	if errReloadRequired.Has(err) {
		current, err := w.load(ctx)
		return current.snapshot, err
	}
	return next, err
}

// load reads the whole configuration. It returns a *config.RestoredError if the stored revision is below the minimum
// determined before the read.
func (w *Watcher) load(ctx context.Context) (storedConfiguration, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	minRevision := w.manager.minStoredRevision()
	current, err := w.store.load(ctx)
	if err != nil {
		return storedConfiguration{}, err
	}
	if revision := current.snapshot.Revision(); revision < minRevision {
		return storedConfiguration{}, &config.RestoredError{InForce: minRevision, Stored: revision}
	}
	return current, nil
}

// checkHead compares the stored head with watched, the newest revision from the watch. It returns watched if the watch lags,
// and -1 otherwise. laggingAt is the result of the previous check. A watch that still lags at the same revision in the next
// check is an error; a single lag is not, since an event may be in transit.
func (w *Watcher) checkHead(ctx context.Context, watched, laggingAt int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	h, err := w.store.readHead(ctx)
	switch {
	case err != nil:
		return -1, err
	case h.Revision < watched:
		return -1, &config.RestoredError{InForce: watched, Stored: h.Revision}
	case h.Revision == watched:
		return -1, nil
	case watched == laggingAt:
		return -1, Error.New("watch stalled at revision %d while the head is at revision %d", watched, h.Revision)
	default:
		return watched, nil
	}
}
