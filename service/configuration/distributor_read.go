package configuration

import (
	"context"
	"time"
)

// startInitialCalls reads the key-value service and pulls from up to initialPulls peers.
func (d *Distributor) startInitialCalls(ctx context.Context) {
	d.initialInFlight, d.lastAnswerAt = 1, time.Now()
	d.startRead(ctx, true)
	for _, m := range d.shuffleMembers() {
		if d.initialInFlight > initialPulls {
			break
		}
		if d.startPull(ctx, m.Address, true) {
			d.initialInFlight++
		}
	}
}

// startRead reads the key-value service in a new goroutine.
func (d *Distributor) startRead(ctx context.Context, initial bool) {
	d.readInFlight = true
	d.calls.Go(func() {
		readCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		s, err := d.reader.Read(readCtx)
		d.results <- pullResult{snapshot: s, initial: initial, err: err}
	})
}

// readWhenIsolated reads the key-value service if neither a peer nor the service has answered for isolationTimeout.
func (d *Distributor) readWhenIsolated(ctx context.Context) {
	if !d.readInFlight && time.Since(d.lastAnswerAt) > isolationTimeout {
		d.startRead(ctx, false)
	}
}
