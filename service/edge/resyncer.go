package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/mailbox"
)

const (
	// hintCapacity bounds the queued hints. Further hints are dropped: every notice from a peer produces a new one.
	hintCapacity = 64
	// hintDelay gives the node's regular source of changes time to deliver a revision that another node already has.
	hintDelay = 40 * time.Millisecond
	// maxStateAge is the age of the cluster state from which a node fetches changes from other nodes. It exceeds the
	// allowed age of a relay's state plus the wait at the relay.
	maxStateAge = maxRelayAge + syncWait
	// stateAgeCheckInterval is the interval at which the age of the cluster state is checked.
	stateAgeCheckInterval = 250 * time.Millisecond
)

// resyncer is the task that fetches changes from other nodes when they have a newer revision, or when this node's state
// has not been confirmed for maxStateAge. The regular source of changes can fail silently until its call times out.
type resyncer struct {
	log        *zap.Logger
	syncClient syncClient
	seeds      []string
	cluster    *latest.Value[*clusterState]
	hints      mailbox.Mailbox[revisionHint]
	patience   syncPatience
	// usingPeers is set while the state is too old and changes come from other nodes.
	usingPeers bool
}

// run handles hints and checks the age of the state until ctx ends.
func (r *resyncer) run(ctx context.Context) {
	tick := time.NewTicker(stateAgeCheckInterval)
	defer tick.Stop()
	state, changed := r.cluster.Watch()
	for {
		if changed != nil && state.Revision > 0 && len(state.Nodes) > 0 {
			r.askForLostConfiguration(ctx, state)
			changed = nil
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
			state, changed = r.cluster.Watch()
		case h := <-r.hints.Receive():
			r.handleHint(ctx, h)
		case <-tick.C:
			r.resyncIfStale(ctx)
		}
	}
}

// askForLostConfiguration asks another node, once this one knows any, whether it has a newer configuration that the store has
// lost. It asks a second one if the first does not answer.
func (r *resyncer) askForLostConfiguration(ctx context.Context, state *clusterState) {
	for _, i := range rand.Perm(len(state.Nodes))[:min(len(state.Nodes), 2)] {
		_, err := r.syncClient.fetch(ctx, state.Nodes[i].Address, newSyncRequest(state, state.Revision), syncTimeout)
		if err == nil {
			return
		}
	}
}

// handleHint fetches changes from the node that sent the hint, unless the regular source delivers them first.
func (r *resyncer) handleHint(ctx context.Context, h revisionHint) {
	timer := time.NewTimer(hintDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	state := r.cluster.Load()
	if state.Revision >= h.revision || state.Revision == 0 {
		return
	}
	index := slices.IndexFunc(state.Nodes, func(m Member) bool { return m.ID == h.node })
	if index < 0 {
		return
	}
	r.log.Info("another node has a newer revision", zap.String("node", h.node),
		revisionField(state.Revision), itsRevisionField(h.revision))
	r.resync(ctx, state.Nodes[index].Address)
}

// resyncIfStale fetches changes from a random other node or seed when the state is too old.
func (r *resyncer) resyncIfStale(ctx context.Context) {
	state := r.cluster.Load()
	age := bootclock.Now().Sub(state.ConfirmedAt)
	if age < maxStateAge {
		if r.usingPeers {
			r.log.Info("regular source of changes regained", zap.Duration("age", age))
			r.usingPeers = false
		}
		return
	}
	addresses := slices.Clone(r.seeds)
	for _, n := range state.Nodes {
		addresses = append(addresses, n.Address)
	}
	if len(addresses) > 0 {
		r.resync(ctx, addresses[rand.IntN(len(addresses))])
	}
}

// resync fetches the changes after this node's revision from the node at an address.
func (r *resyncer) resync(ctx context.Context, address string) {
	before := r.cluster.Load()
	// While the state is recent, the node can read the store, and a poll costs less than all entries.
	stale := bootclock.Now().Sub(before.ConfirmedAt) >= maxStateAge
	request := newSyncRequest(before, before.Revision)
	request.TakesEntries = stale
	reply, err := r.syncClient.fetch(ctx, address, request, r.patience.current())
	r.patience.record(err)
	if err == nil && !reply.Available {
		r.log.Info("another node does not have the changes after this revision", zap.String("address", address),
			revisionField(before.Revision), itsRevisionField(reply.Revision))
		return
	}
	if err != nil {
		r.log.Info("fetching changes from another node failed", zap.String("address", address),
			revisionField(before.Revision), logging.Cause(err))
		return
	}
	if !r.usingPeers {
		r.usingPeers = true
		r.log.Info("fetching changes from other nodes", zap.String("address", address),
			revisionField(reply.Revision), zap.Int64("age_ms", reply.AgeMillis))
	}
}
