// Package hosts follows the platform's list of hosts.
package hosts

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
)

// Poller is the task that reads the list of hosts at a fixed interval. After a failed read the last list stays in force.
type Poller struct {
	log      *zap.Logger
	source   backing.HostList
	interval time.Duration
	current  *latest.Value[[]message.Host]
}

// NewPoller returns a Poller with an empty list.
func NewPoller(log *zap.Logger, source backing.HostList, interval time.Duration) *Poller {
	return &Poller{log: log, source: source, interval: interval, current: latest.New[[]message.Host](nil)}
}

// Current holds the newest list.
func (p *Poller) Current() *latest.Value[[]message.Host] { return p.current }

// Run reads the list until ctx ends.
func (p *Poller) Run(ctx context.Context) {
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

func (p *Poller) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(p.interval, time.Second))
	defer cancel()
	list, err := p.source.Fetch(ctx)
	if err != nil {
		p.log.Warn("host list could not be read, keeping the last one", zap.Error(err))
		return
	}
	p.current.Publish(list)
}
