package dispatcher

import (
	"context"
	"time"

	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/message"
)

// loadPoller is the task that reads the load reports of one endpoint. If the cell's mailbox is full, the report is dropped,
// since the next report replaces it.
type loadPoller struct {
	endpoint message.Endpoint
	loader   Loader
	interval time.Duration
	// timeout bounds each read.
	timeout  time.Duration
	messages mailbox.Mailbox[cellMessage]
}

// run reads reports until ctx ends.
func (p loadPoller) run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p loadPoller) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	readStart := time.Now()
	load, err := p.loader.ReadLoad(readCtx, p.endpoint)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		p.messages.TrySend(loadFailedMessage{endpoint: p.endpoint.ID})
	default:
		p.messages.TrySend(loadMessage{notBefore: readStart.Add(-load.Age), report: load})
	}
}
