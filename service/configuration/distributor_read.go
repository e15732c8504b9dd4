package configuration

import (
	"context"
	"time"
)

// start asks some peers and the key-value service.
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

// read reads the key-value service in a goroutine of its own.
func (d *Distributor) read(ctx context.Context, starting bool) {
	d.reading = true
	d.calls.Go(func() {
		readCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		s, err := d.reader.Read(readCtx)
		d.results <- pullResult{snapshot: s, starting: starting, err: err}
	})
}

// readWhenIsolated reads the key-value service when no peer has answered for some time.
func (d *Distributor) readWhenIsolated(ctx context.Context) {
	if !d.reading && time.Since(d.heardAt) > isolatedTime {
		d.read(ctx, false)
	}
}
