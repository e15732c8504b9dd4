package edge

import (
	"context"
	"time"

	"go.uber.org/zap"

	"azuredyke.dev/azuredyke/common/bootclock"
	"azuredyke.dev/azuredyke/common/exchange"
	"azuredyke.dev/azuredyke/common/latest"
	"azuredyke.dev/azuredyke/common/logging"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/decision/fleet"
)

const (
	// probeStateAge is the age of the cluster state from which the engines of runs without a backup are probed. Engines announce their
	// departure at least 1.5 s ahead, and moving a run takes up to half a second. The state may be that old while the store answers, so
	// the other engines are probed from maxStateAge on: their runs can continue at the backup.
	probeStateAge = 900 * time.Millisecond
	// probeInterval is the interval of the probes while the store does not answer. Each probe is charged.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 300 * time.Millisecond
)

// prober is the task that asks the engines of this node's runs whether they are leaving while the store does not answer.
type prober struct {
	log        *zap.Logger
	reporter   exchange.Reporter
	cluster    *latest.Value[*clusterState]
	dispatcher mailbox.Mailbox[dispatcherMessage]
}

// run probes until ctx ends.
func (p *prober) run(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			state := p.cluster.Load()
			if age := bootclock.Now().Sub(state.ConfirmedAt); state.Revision > 0 && age > probeStateAge {
				p.probeAll(ctx, age > maxStateAge)
			}
		}
	}
}

// probeAll probes the busy engines concurrently, with those whose runs all have a backup or without them, and waits for the results.
func (p *prober) probeAll(ctx context.Context, backedUp bool) {
	engines, err := mailbox.Call(ctx, p.dispatcher, func(reply chan<- []fleet.Endpoint) dispatcherMessage {
		return busyEnginesMessage{backedUp: backedUp, reply: reply}
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	done := make(chan struct{}, len(engines))
	for _, e := range engines {
		go func() {
			p.probeEngine(ctx, e)
			done <- struct{}{}
		}()
	}
	for range engines {
		<-done
	}
}

func (p *prober) probeEngine(ctx context.Context, e fleet.Endpoint) {
	report, err := p.reporter.Report(ctx, e.Address)
	if err != nil {
		p.log.Info("engine probe failed", zap.String("endpoint", e.ID), logging.Cause(err))
		return
	}
	if report.Leaving {
		_ = p.dispatcher.Send(ctx, endpointStatementMessage{endpoint: e, statement: exchange.Statement{Leaving: true}})
	}
}
