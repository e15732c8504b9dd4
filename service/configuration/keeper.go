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
}

// NewKeeper returns a Keeper with the empty configuration at revision 0.
func NewKeeper(log *zap.Logger) *Keeper {
	return &Keeper{
		log:     log,
		offers:  mailbox.New[Offer](keeperCapacity),
		current: latest.New(config.NewSnapshot(0, nil)),
	}
}

// Current holds the snapshot in force.
func (k *Keeper) Current() *latest.Value[*config.Snapshot] { return k.current }

// Offer hands a snapshot to the keeper, which puts it in force if it is newer. It returns the error of ctx.
func (k *Keeper) Offer(ctx context.Context, o Offer) error { return k.offers.Send(ctx, o) }

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
	inForce := k.current.Load().Revision()
	offered := o.Snapshot.Revision()
	switch {
	case offered > inForce:
		k.current.Publish(o.Snapshot)
		k.log.Info("configuration in force", zap.Int64("revision", offered))
	case offered < inForce && o.FromPlatform:
		k.log.Error("configuration restored to an older state, not followed",
			zap.Int64("revision", inForce), zap.Int64("restored", offered))
	}
	if o.Done != nil {
		close(o.Done)
	}
}
