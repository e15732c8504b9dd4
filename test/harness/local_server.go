package harness

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// localServer serves a fake inside the test process.
type localServer struct {
	address string
	server  *http.Server
	stop    context.CancelFunc
	running sync.WaitGroup
}

// newLocalServer serves a handler on a loopback address and runs its background task, until the test ends or kill is called.
func newLocalServer(t testing.TB, h http.Handler, run func(context.Context)) *localServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	ctx, cancel := context.WithCancel(context.Background())
	o := &localServer{
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

// kill closes the listener and all connections and stops the background task, like the exit of a process.
func (o *localServer) kill() {
	_ = o.server.Close()
	o.stop()
	o.running.Wait()
}
