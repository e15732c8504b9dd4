// Package signals receives the signals of a process while the libraries are still initialised, which takes some milliseconds. A signal that
// nothing receives ends the process.
//
// Of the packages whose imports are initialised, the one with the first import path is next. This package imports the standard library only, and
// its path sorts before others, so it follows os/signal directly.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

var (
	stop   = make(chan os.Signal, 1)
	reload = make(chan os.Signal, 1)
)

func init() {
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(reload, syscall.SIGHUP)
}

// StopContext returns a context that ends with the first interrupt or SIGTERM since the start of the process.
func StopContext(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		select {
		case <-stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Reload returns the channel on which each SIGHUP since the start of the process arrives; several that wait count as one.
func Reload() <-chan os.Signal { return reload }

// EndOnHangup lets SIGHUP end the process, for commands that do not reload.
func EndOnHangup() { signal.Reset(syscall.SIGHUP) }
