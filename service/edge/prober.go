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
)

const (
	// probeInterval is how often engines are asked while the store is silent. They leave with a notice of 1.5 s or more,
	// and each question is charged.
	probeInterval = 700 * time.Millisecond
	// probeTimeout bounds one question.
	probeTimeout = 300 * time.Millisecond
)

// prober is the task that asks the engines of this node's runs whether they leave, while the store cannot say so.
type prober struct {
	log        *zap.Logger
	reporter   exchange.Reporter
	known      *latest.Value[*Knowledge]
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
			if k := p.known.Load(); k.Position > 0 && bootclock.Now().Sub(k.Confirmed) > staleAfter {
				p.probe(ctx)
			}
		}
	}
}

// probe asks all engines at once and waits for their answers.
func (p *prober) probe(ctx context.Context) {
	engines, err := mailbox.Call(ctx, p.dispatcher, func(reply chan<- []busyEngine) dispatcherMessage {
		return busyEnginesMessage{reply: reply}
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	done := make(chan struct{}, len(engines))
	for _, e := range engines {
		go func() {
			p.ask(ctx, e)
			done <- struct{}{}
		}()
	}
	for range engines {
		<-done
	}
}

func (p *prober) ask(ctx context.Context, e busyEngine) {
	report, err := p.reporter.Report(ctx, e.address)
	if err != nil {
		p.log.Info("engine not probed", zap.String("endpoint", e.id), logging.Cause(err))
		return
	}
	if report.Leaving {
		p.log.Info("engine says that it leaves", zap.String("endpoint", e.id))
		_ = p.dispatcher.Send(ctx, engineLeavesMessage{id: e.id})
	}
}
