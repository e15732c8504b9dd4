package ownership

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
)

// ownersMessage holds all owner records at one revision of the key-value service.
type ownersMessage struct {
	owners   map[string]ownerRecord
	revision int64
}

// ownerEventMessage holds the changes of the owner records in one revision.
type ownerEventMessage struct {
	events []backing.WatchEvent
}

// watchOwners reads the owner records and sends them and their changes to the task until ctx ends. After an error, it
// starts again with a delay.
func (k *Manager) watchOwners(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		read, err := k.watchOwnersOnce(ctx)
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

// watchOwnersOnce returns when the watch fails. It reports whether the owner records were read.
func (k *Manager) watchOwnersOnce(ctx context.Context) (read bool, err error) {
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
	owners := make(map[string]ownerRecord, len(result.Entries))
	for _, e := range result.Entries {
		o := decodeOwnerRecord(e)
		owners[o.Resource] = o
	}
	k.send(ctx, ownersMessage{owners: owners, revision: result.Revision})
	for batch := range batches {
		if batch.Err != nil {
			return true, batch.Err
		}
		k.send(ctx, ownerEventMessage{events: batch.Events})
	}
	return true, Error.New("watch of owner records was closed")
}

func (m ownersMessage) apply(_ context.Context, k *Manager) {
	k.owners = m.owners
	k.ownerlessSince = map[string]time.Time{}
	for resource := range k.held {
		if _, ok := m.owners[resource]; !ok {
			k.handleMissingRecord(resource, m.revision)
		}
	}
	for _, o := range m.owners {
		k.handleOwnerRecord(o)
	}
}

func (m ownerEventMessage) apply(_ context.Context, k *Manager) {
	for _, e := range m.events {
		o := decodeOwnerRecord(e.Entry)
		if e.Deleted {
			delete(k.owners, o.Resource)
			k.handleMissingRecord(o.Resource, o.revision)
			continue
		}
		k.owners[o.Resource] = o
		delete(k.ownerlessSince, o.Resource)
		k.handleOwnerRecord(o)
	}
}
