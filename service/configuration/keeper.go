package configuration

import (
	"context"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/config"
)

// keeperCapacity limits the queued offers. Offer blocks when the queue is full.
const keeperCapacity = 64

// Manager is the task that owns the snapshot in force on this node. The revision in force never decreases.
type Manager struct {
	log     *zap.Logger
	offers  mailbox.Mailbox[Offer]
	current *latest.Value[*config.Snapshot]
	history *latest.Value[*config.History]
	// highestPeerRevision is the highest revision that peers have reported; the Distributor publishes it.
	highestPeerRevision *latest.Value[int64]
}

// NewManager returns a Keeper with the empty configuration at revision 0.
func NewManager(log *zap.Logger) *Manager {
	empty := config.NewSnapshot(0, nil)
	return &Manager{
		log:                 log,
		offers:              mailbox.New[Offer](keeperCapacity),
		current:             latest.New(empty),
		history:             latest.New(config.NewHistory(empty)),
		highestPeerRevision: latest.New(int64(0)),
	}
}

// Current holds the snapshot in force.
func (k *Manager) Current() *latest.Value[*config.Snapshot] { return k.current }

// minStoredRevision returns the lowest valid revision for later reads of the key-value service: the higher one of the
// revision in force on this node and the highest revision that peers have reported. Both were durable in the service, so a
// lower stored revision means that the service was restored to an older state.
func (k *Manager) minStoredRevision() int64 {
	return max(k.current.Load().Revision(), k.highestPeerRevision.Load())
}

// Offer queues a snapshot. Run puts the snapshot in force if it is newer than the one in force. The error is that of ctx.
func (k *Manager) Offer(ctx context.Context, o Offer) error { return k.offers.Send(ctx, o) }

// AnswerPull returns the reply to a peer that has the given revision in force.
func (k *Manager) AnswerPull(revision int64) PullReply {
	h := k.history.Load()
	newest := h.Newest()
	reply := PullReply{Revision: newest.Revision()}
	if revision >= newest.Revision() {
		return reply
	}
	if delta, ok := h.Since(revision); ok {
		reply.Delta = &delta
		return reply
	}
	reply.Whole = true
	reply.Objects = newest.Objects()
	return reply
}

// Run puts offered snapshots in force until ctx ends.
func (k *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-k.offers.Receive():
			k.apply(o)
		}
	}
}

func (k *Manager) apply(o Offer) {
	if revision := o.Snapshot.Revision(); revision > k.current.Load().Revision() {
		k.history.Publish(k.history.Load().Advance(o.Snapshot))
		k.current.Publish(o.Snapshot)
		k.log.Info("configuration in force", zap.Int64("revision", revision))
	}
	if o.Done != nil {
		close(o.Done)
	}
}
