package ownership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
)

// ownersMessage carries all owner records at one revision.
type ownersMessage struct {
	owners   map[string]owner
	revision int64
}

// ownerEventMessage carries the changes of one revision.
type ownerEventMessage struct {
	events []backing.WatchEvent
}

// follow is the task that reads the owner records and follows their changes until ctx ends.
func (k *Keeper) follow(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		read, err := k.followOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if read {
			failures = 1
		}
		k.log.Warn("watch of owner records broke", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay(failures, k.options.RenewInterval)):
		}
	}
}

// followOnce returns when the watch breaks, and whether the records could be read.
func (k *Keeper) followOnce(ctx context.Context) (read bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rangeCtx, cancelRange := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancelRange()
	result, err := k.kv.Range(rangeCtx, ownersPrefix)
	if err != nil {
		return false, err
	}
	batches, err := k.kv.Watch(ctx, ownersPrefix, result.Revision+1)
	if err != nil {
		return false, err
	}
	owners := make(map[string]owner, len(result.Entries))
	for _, e := range result.Entries {
		o := ownerOf(e)
		owners[o.Resource] = o
	}
	k.send(ctx, ownersMessage{owners: owners, revision: result.Revision})
	for batch := range batches {
		if batch.Err != nil {
			return true, batch.Err
		}
		k.send(ctx, ownerEventMessage{events: batch.Events})
	}
	return true, Error.New("watch closed")
}

func (m ownersMessage) apply(_ context.Context, k *Keeper) {
	k.owners = m.owners
	k.freeSince = map[string]time.Time{}
	for resource := range k.held {
		if _, ok := m.owners[resource]; !ok {
			k.sawMissing(resource, m.revision)
		}
	}
	for _, o := range m.owners {
		k.sawOwner(o)
	}
}

func (m ownerEventMessage) apply(_ context.Context, k *Keeper) {
	for _, e := range m.events {
		o := ownerOf(e.Entry)
		if e.Deleted {
			delete(k.owners, o.Resource)
			k.sawMissing(o.Resource, o.revision)
			continue
		}
		k.owners[o.Resource] = o
		delete(k.freeSince, o.Resource)
		k.sawOwner(o)
	}
}
