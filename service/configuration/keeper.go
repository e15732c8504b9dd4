package configuration

import (
	"context"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/config"
)

// keeperCapacity bounds the waiting offers; offering blocks beyond it.
const keeperCapacity = 64

// Keeper is the task that owns the snapshot in force on this node. The revision in force never goes back.
type Keeper struct {
	log     *zap.Logger
	offers  mailbox.Mailbox[Offer]
	current *latest.Value[*config.Snapshot]
	history *latest.Value[*config.History]
	// heard is the highest revision that peers have told of; the Distributor publishes it.
	heard *latest.Value[int64]
}

// NewKeeper returns a Keeper with the empty configuration at revision 0.
func NewKeeper(log *zap.Logger) *Keeper {
	empty := config.NewSnapshot(0, nil)
	return &Keeper{
		log:     log,
		offers:  mailbox.New[Offer](keeperCapacity),
		current: latest.New(empty),
		history: latest.New(config.NewHistory(empty)),
		heard:   latest.New(int64(0)),
	}
}

// Current holds the snapshot in force.
func (k *Keeper) Current() *latest.Value[*config.Snapshot] { return k.current }

// floor returns the lowest revision that the key-value service may show from now on: that in force, or a higher one that a
// peer has in force. Both were durable.
func (k *Keeper) floor() int64 { return max(k.current.Load().Revision(), k.heard.Load()) }

// Offer hands a snapshot to the keeper, which puts it in force if it is newer. It returns the error of ctx.
func (k *Keeper) Offer(ctx context.Context, o Offer) error { return k.offers.Send(ctx, o) }

// Pull answers a peer that has the given revision in force.
func (k *Keeper) Pull(have int64) PullReply {
	h := k.history.Load()
	newest := h.Newest()
	reply := PullReply{Revision: newest.Revision()}
	if have >= newest.Revision() {
		return reply
	}
	if delta, ok := h.Since(have); ok {
		reply.Delta = &delta
		return reply
	}
	reply.Whole = true
	reply.Objects = newest.Objects()
	return reply
}

// Run puts offered snapshots in force until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-k.offers.Receive():
			k.apply(o)
		}
	}
}

func (k *Keeper) apply(o Offer) {
	if revision := o.Snapshot.Revision(); revision > k.current.Load().Revision() {
		k.history.Publish(k.history.Load().Advance(o.Snapshot))
		k.current.Publish(o.Snapshot)
		k.log.Info("configuration in force", zap.Int64("revision", revision))
	}
	if o.Done != nil {
		close(o.Done)
	}
}
