package dispatcher

import "github.com/uber-go/tally/v4"

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithMetrics reports the metrics of the cells to a scope.
func WithMetrics(scope tally.Scope) Option { return func(d *Dispatcher) { d.scope = scope } }

// WithFenceObserver notifies an observer of refused fencing tokens.
func WithFenceObserver(o FenceObserver) Option { return func(d *Dispatcher) { d.fenceObserver = o } }

// noFenceObserver is the FenceObserver that is used if none is set.
type noFenceObserver struct{}

// FenceRefused implements FenceObserver.
func (noFenceObserver) FenceRefused(string, uint64) {}
