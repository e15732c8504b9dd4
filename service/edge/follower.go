package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/pause"
)

const (
	// allKeys is the prefix of all keys. One poll of all keys is charged the same as a poll of a single prefix.
	allKeys = ""
	// pollWait is how long a poll waits for changes. A reply without changes confirms that the node is up to date. The
	// wait must be well below the 2 s within which a change must be in force: all polling nodes may lose the store at
	// once, and the other nodes detect that only by the age of their state.
	pollWait = 600 * time.Millisecond
	// minPollSpacing is the minimum time between the starts of two polls. Each poll is charged and ends at the first change,
	// and on a large fleet the next change follows within milliseconds.
	minPollSpacing = 150 * time.Millisecond
	// pollSpacingPerDataCentre extends the spacing on fleets with many data centres, so that the calls of all of them together
	// stay bounded. Their relays poll at different times and tell each other of new revisions.
	pollSpacingPerDataCentre = 75 * time.Millisecond
	// callTimeout is how long a small reply may take. A healthy store replies within milliseconds, a slow one within some hundred
	// milliseconds.
	callTimeout = 500 * time.Millisecond
	// maxPollReply bounds the time of a poll's reply beyond its wait. The store ends a poll whose reply makes no progress much sooner; a
	// large configuration that still arrives takes seconds over the smallest links.
	maxPollReply = 5 * time.Second
	// readTimeout bounds a read of all entries, which takes many calls on a large fleet. All nodes may read at once after a power
	// cut; the store then needs some seconds to send them its entries.
	readTimeout = 15 * time.Second
	// syncWait is how long a sync request to another node waits for changes. syncTimeout is how long the reply may take
	// beyond that.
	syncWait    = 400 * time.Millisecond
	syncTimeout = 250 * time.Millisecond
	// maxRelayAge is the age of a relay's state from which a node polls the store itself. A reply with changes confirms
	// the state as of the start of its poll, so ages up to two waits are normal.
	maxRelayAge = 2*pollWait + 100*time.Millisecond
	// relayAvoidTime is how long a node avoids a relay that failed or was out of date.
	relayAvoidTime = 3 * time.Second
	// initialStoreBackoff and maxStoreBackoff bound the wait between calls to a store that does not answer. Refused calls
	// are charged too.
	initialStoreBackoff = 200 * time.Millisecond
	maxStoreBackoff     = time.Second
)

// follower is the task that keeps the view up to date. It reads changes from the preferred relay of the data centre, or
// from the store if no relay can be used.
type follower struct {
	log        *zap.Logger
	store      Store
	syncClient syncClient
	cluster    *latest.Value[*clusterState]
	view       mailbox.Mailbox[viewMessage]

	// revision is the store's revision up to which all changes have been read; 0 before the first read.
	revision int64
	// avoidUntil is the time until which a relay is avoided, by address.
	avoidUntil map[string]time.Time
	// patience is the time that relays get for their replies.
	patience syncPatience
	// storeFailed is set while the store does not answer. The store is polled again after backoff.
	storeFailed bool
	backoff     time.Duration
	// source is the address of the relay that delivered the last changes, or sourceStore.
	source string
}

// run reads changes until ctx ends.
func (f *follower) run(ctx context.Context) {
	f.backoff = initialStoreBackoff
	for ctx.Err() == nil {
		f.revision = max(f.revision, f.cluster.Load().Revision)
		if f.revision > 0 {
			if address, ok := f.preferredRelay(); ok {
				f.pollRelay(ctx, address)
				continue
			}
		}
		start := time.Now()
		if f.pollStore(ctx) {
			pause.Sleep(ctx, time.Until(start.Add(f.pollSpacing())))
			continue
		}
		pause.Sleep(ctx, f.backoff)
		f.backoff = min(maxStoreBackoff, 2*f.backoff)
	}
}

// pollSpacing returns the minimum time between the starts of two polls.
func (f *follower) pollSpacing() time.Duration {
	return max(minPollSpacing, time.Duration(f.cluster.Load().topology.dataCentres)*pollSpacingPerDataCentre)
}

// preferredRelay returns the address of the first usable relay of the data centre that ranks before this node.
func (f *follower) preferredRelay() (string, bool) {
	t := f.cluster.Load().topology
	now := time.Now()
	for rank, m := range t.localRelays {
		if t.rank >= 0 && rank >= t.rank {
			break
		}
		if now.After(f.avoidUntil[m.Address]) {
			return m.Address, true
		}
	}
	return "", false
}

// pollRelay waits at a relay for changes. A relay that does not answer, or whose state is too old, is avoided for a while.
func (f *follower) pollRelay(ctx context.Context, address string) {
	request := newSyncRequest(f.cluster.Load(), f.revision)
	request.WaitMillis = syncWait.Milliseconds()
	reply, err := f.syncClient.fetch(ctx, address, request, f.patience.current())
	f.patience.record(err)
	if err == nil && !reply.Available && reply.Revision > f.revision && f.pollStore(ctx) {
		// The relay has read the store after this node and does not know all deletions in between. The store does.
		return
	}
	age := time.Duration(reply.AgeMillis) * time.Millisecond
	if ctx.Err() == nil && (err != nil || !reply.Available || age > maxRelayAge) {
		f.avoidUntil[address] = time.Now().Add(relayAvoidTime)
		f.log.Info("relay failed or out of date; avoiding it", zap.String("address", address), revisionField(f.revision),
			zap.Duration("age", age), logging.Cause(err))
	}
	if err == nil && reply.Available {
		f.recordProgress(address, reply.Revision)
	}
}

// pollStore polls the store, or reads all of it, and reports whether that succeeded.
func (f *follower) pollStore(ctx context.Context) bool {
	err := f.readChanges(ctx)
	if backing.ErrCompacted.Has(err) {
		f.log.Info("store has compacted the polled revision; reading all entries again", revisionField(f.revision))
		err = f.readAll(ctx)
	}
	switch {
	case err == nil:
		if f.storeFailed {
			f.log.Info("store regained", revisionField(f.revision))
		}
		f.storeFailed, f.backoff = false, initialStoreBackoff
		return true
	case ctx.Err() != nil:
		return false
	}
	if !f.storeFailed {
		f.log.Warn("store lost", revisionField(f.revision), logging.Cause(err))
		_ = f.view.Send(ctx, storeLostMessage{})
	}
	f.storeFailed = true
	return false
}

// readChanges polls the store for changes after the known revision. Before the first read, it reads all entries.
func (f *follower) readChanges(ctx context.Context) error {
	if f.revision == 0 {
		return f.readAll(ctx)
	}
	start := bootclock.Now()
	callCtx, cancel := context.WithTimeout(ctx, pollWait+maxPollReply)
	defer cancel()
	batch, err := f.store.Poll(callCtx, allKeys, f.revision, pollWait)
	if err != nil {
		return err
	}
	f.recordProgress(sourceStore, batch.Revision)
	origin := changeOrigin{source: sourceStore, took: bootclock.Now().Sub(start)}
	if len(batch.Events) == 0 && bootclock.Now().Sub(start) >= pollWait {
		// The store waited without sending a change, so the state is confirmed as of the end of the wait.
		start = start.Add(pollWait)
	}
	return f.view.Send(ctx, storeChangedMessage{batch: batch, asOf: start, origin: origin})
}

// readAll reads all entries.
func (f *follower) readAll(ctx context.Context) error {
	start := bootclock.Now()
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	result, err := f.store.Range(callCtx, allKeys)
	if err != nil {
		return err
	}
	f.recordProgress(sourceStore, result.Revision)
	return f.view.Send(ctx, storeReadMessage{
		result: result, asOf: start, origin: changeOrigin{source: sourceStore, took: bootclock.Now().Sub(start)},
	})
}

// recordProgress records the revision that has been read, and logs a change of the source.
func (f *follower) recordProgress(source string, revision int64) {
	f.revision = max(f.revision, revision)
	if f.source != source {
		f.log.Info("following", zap.String("source", source), zap.String("before", f.source), revisionField(revision))
		f.source = source
	}
}
