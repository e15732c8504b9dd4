// Package hosts polls the platform's list of hosts.
package hosts

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/message"
)

// Poller is the task that fetches the list of hosts at a fixed interval. After a failed fetch the last list stays in force.
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

// Current returns the value that holds the last fetched list.
func (p *Poller) Current() *latest.Value[[]message.Host] { return p.current }

// Run fetches the list at once and then at each interval, until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.fetch(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// fetch reads the list once from its source and publishes it.
func (p *Poller) fetch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, max(p.interval, time.Second))
	defer cancel()
	list, err := p.source.Fetch(ctx)
	if err != nil {
		p.log.Warn("host list could not be fetched, keeping the last one", zap.Error(err))
		return
	}
	p.current.Publish(list)
}
