package configuration

import (
	"context"
	"time"
)

func (d *Distributor) start(ctx context.Context) {
	d.startOpen, d.heardAt = 1, time.Now()
	d.read(ctx, true)
	for _, m := range d.shuffled() {
		if d.startOpen > startPulls {
			break
		}
		if d.pull(ctx, m.Address, true) {
			d.startOpen++
		}
	}
}

// nextPull returns the time to the next pull, drawn from half to one and a half of the interval, so that nodes do not

// pull in step. It is short while this node is behind and while no peer answers, since links may have stalled.

func (d *Distributor) read(ctx context.Context, starting bool) {
	d.reading = true
	d.calls.Go(func() {
		readCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		s, err := d.reader.Read(readCtx)
		d.results <- pullResult{snapshot: s, starting: starting, err: err}
	})
}

func (d *Distributor) readWhenIsolated(ctx context.Context) {
	if !d.reading && time.Since(d.heardAt) > isolatedTime {
		d.read(ctx, false)
	}
}

// tell notifies random peers that are not known to have the revision.
