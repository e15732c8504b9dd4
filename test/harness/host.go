package harness

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// host serves a stand-in inside the test process.
type host struct {
	address string
	server  *http.Server
	stop    context.CancelFunc
	running sync.WaitGroup
}

// newHost serves a handler on a loopback address and runs its task, until the test ends or kill is called.
func newHost(t testing.TB, h http.Handler, run func(context.Context)) *host {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	ctx, cancel := context.WithCancel(context.Background())
	o := &host{
		address: listener.Addr().String(), stop: cancel,
		server: &http.Server{Handler: h, Protocols: protocols},
	}
	if run != nil {
		o.running.Go(func() { run(ctx) })
	}
	o.running.Go(func() { _ = o.server.Serve(listener) })
	t.Cleanup(o.kill)
	return o
}

// kill closes the listener and all connections and ends the task, as the end of a process does.
func (o *host) kill() {
	_ = o.server.Close()
	o.stop()
	o.running.Wait()
}
