package dispatcher

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/message"
)

// loadPoller is the task that reads the load reports of one endpoint.
type loadPoller struct {
	endpoint message.Endpoint
	loader   Loader
	interval time.Duration
	cell     *Cell
}

// run reads reports until ctx ends.
func (p loadPoller) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		if load, err := p.loader.Load(ctx, p.endpoint); err == nil {
			p.cell.messages.TrySend(loadMessage{load: load})
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
