// Package tcpserver serves raw TCP connections in tests of clients, for answers that no sound server sends.
package tcpserver

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Start accepts connections on a loopback port until the test ends, and runs serve on each in a task of its own. Start returns the
// address. A connection is closed when serve returns.
func Start(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		serving.Wait()
	})
	return listener.Addr().String()
}
