package configuration

import (
	"context"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/config"
)

// mailboxCapacity limits the queued offers. Offer blocks when the queue is full.
const mailboxCapacity = 64

// Manager is the task that owns the snapshot in force on this node. The revision in force never decreases.
type Manager struct {
	log     *zap.Logger
	offers  mailbox.Mailbox[Offer]
	current *latest.Value[*config.Snapshot]
	history *latest.Value[*config.History]
	// highestPeerRevision is the highest revision that peers have reported; the Distributor publishes it.
	highestPeerRevision *latest.Value[int64]
}

// NewManager returns a Manager with the empty configuration at revision 0.
func NewManager(log *zap.Logger) *Manager {
	empty := config.NewSnapshot(0, nil)
	return &Manager{
		log:                 log,
		offers:              mailbox.New[Offer](mailboxCapacity),
		current:             latest.New(empty),
		history:             latest.New(config.NewHistory(empty)),
		highestPeerRevision: latest.New(int64(0)),
	}
}

// Current holds the snapshot in force.
func (m *Manager) Current() *latest.Value[*config.Snapshot] { return m.current }

// minStoredRevision returns the lowest valid revision for later reads of the key-value service: the higher one of the
// revision in force on this node and the highest revision that peers have reported. Both were durable in the service, so a
// lower stored revision means that the service was restored to an older state.
func (m *Manager) minStoredRevision() int64 {
	return max(m.current.Load().Revision(), m.highestPeerRevision.Load())
}

// Offer queues a snapshot. Run puts the snapshot in force if it is newer than the one in force. The error is that of ctx.
func (m *Manager) Offer(ctx context.Context, o Offer) error { return m.offers.Send(ctx, o) }

// AnswerPull returns the reply to a peer that has the given revision in force.
func (m *Manager) AnswerPull(revision int64) PullReply {
	h := m.history.Load()
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
func (m *Manager) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-m.offers.Receive():
			m.apply(o)
		}
	}
}

func (m *Manager) apply(o Offer) {
	if revision := o.Snapshot.Revision(); revision > m.current.Load().Revision() {
		m.history.Publish(m.history.Load().Advance(o.Snapshot))
		m.current.Publish(o.Snapshot)
		m.log.Info("configuration in force", zap.Int64("revision", revision))
	}
	if o.Done != nil {
		close(o.Done)
	}
}
