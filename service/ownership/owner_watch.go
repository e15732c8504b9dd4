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
func (m *Manager) watchOwners(ctx context.Context) {
	for failures := 1; ctx.Err() == nil; failures++ {
		read, err := m.watchOwnersOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if read {
			failures = 1
		}
		m.log.Warn("watch of owner records broke", zap.Error(err))
		select {
		case <-ctx.Done():
		case <-time.After(retryDelay(failures, m.options.RenewInterval)):
		}
	}
}

// watchOwnersOnce returns when the watch fails. It reports whether the owner records were read.
func (m *Manager) watchOwnersOnce(ctx context.Context) (read bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rangeCtx, cancelRange := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancelRange()
	result, err := m.kv.Range(rangeCtx, ownersPrefix)
	if err != nil {
		return false, err
	}
	batches, err := m.kv.Watch(ctx, ownersPrefix, result.Revision+1)
	if err != nil {
		return false, err
	}
	owners := make(map[string]ownerRecord, len(result.Entries))
	for _, e := range result.Entries {
		o := decodeOwnerRecord(e)
		owners[o.Resource] = o
	}
	m.send(ctx, ownersMessage{owners: owners, revision: result.Revision})
	for batch := range batches {
		if batch.Err != nil {
			return true, batch.Err
		}
		m.send(ctx, ownerEventMessage{events: batch.Events})
	}
	return true, Error.New("watch of owner records was closed")
}

func (m ownersMessage) apply(_ context.Context, manager *Manager) {
	manager.owners = m.owners
	manager.ownerlessSince = map[string]time.Time{}
	for resource := range manager.held {
		if _, ok := m.owners[resource]; !ok {
			manager.handleMissingRecord(resource, m.revision)
		}
	}
	for _, o := range m.owners {
		manager.handleOwnerRecord(o)
	}
}

func (m ownerEventMessage) apply(_ context.Context, manager *Manager) {
	for _, e := range m.events {
		o := decodeOwnerRecord(e.Entry)
		if e.Deleted {
			delete(manager.owners, o.Resource)
			manager.handleMissingRecord(o.Resource, o.revision)
			continue
		}
		manager.owners[o.Resource] = o
		delete(manager.ownerlessSince, o.Resource)
		manager.handleOwnerRecord(o)
	}
}
