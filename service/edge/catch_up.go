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
	// hintCapacity bounds the waiting hints; further ones are dropped, since each notice brings a new one.
	hintCapacity = 64
	// hintGrace is how long the node's own source may take to bring what another node already has.
	hintGrace = 40 * time.Millisecond
	// staleAfter is the age of its knowledge from which a node asks others; above that of a relay and the wait there.
	staleAfter = maxRelayAge + syncWait
	// staleInterval is how often it does.
	staleInterval = 250 * time.Millisecond
)

// catchUp is the task that asks other nodes for changes when they know more than this one, or when this one has heard
// nothing for long. The node's own source may be silent without a sign until its call times out.
type catchUp struct {
	log    *zap.Logger
	asker  asker
	seeds  []string
	known  *latest.Value[*Knowledge]
	hints  mailbox.Mailbox[hint]
	helped bool
}

// run asks until ctx ends.
func (c *catchUp) run(ctx context.Context) {
	tick := time.NewTicker(staleInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case h := <-c.hints.Receive():
			c.follow(ctx, h)
		case <-tick.C:
			c.refresh(ctx)
		}
	}
}

// follow asks the node that knows more, unless the change arrives by itself.
func (c *catchUp) follow(ctx context.Context, h hint) {
	timer := time.NewTimer(hintGrace)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	k := c.known.Load()
	if k.Position >= h.position || k.Position == 0 {
		return
	}
	at := slices.IndexFunc(k.Nodes, func(m Member) bool { return m.ID == h.node })
	if at < 0 {
		return
	}
	c.log.Info("another node knows more", zap.String("node", h.node), zap.Int64("revision", k.Position), zap.Int64("its_revision", h.position))
	c.ask(ctx, k.Nodes[at].Address)
}

// refresh asks some other node when nothing has been heard for long.
func (c *catchUp) refresh(ctx context.Context) {
	k := c.known.Load()
	age := bootclock.Now().Sub(k.Confirmed)
	if age < staleAfter {
		if c.helped {
			c.log.Info("own source is back", zap.Duration("age", age))
			c.helped = false
		}
		return
	}
	addresses := slices.Clone(c.seeds)
	for _, n := range k.Nodes {
		addresses = append(addresses, n.Address)
	}
	if len(addresses) > 0 {
		c.ask(ctx, addresses[rand.IntN(len(addresses))])
	}
}

func (c *catchUp) ask(ctx context.Context, address string) {
	before := c.known.Load()
	reply, err := c.asker.ask(ctx, address, before.Position, 0)
	if err != nil || !reply.Known {
		c.log.Info("no help from another node", zap.String("address", address), zap.Int64("revision", before.Position), logging.Cause(err))
		return
	}
	if !c.helped {
		c.helped = true
		c.log.Info("another node helps out", zap.String("address", address), zap.Int64("revision", reply.Position), zap.Int64("age_ms", reply.AgeMillis))
	}
}
