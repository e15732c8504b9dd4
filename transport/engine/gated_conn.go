package engine

import (
	"net"
	"sync/atomic"
	"time"
)

// gatedConn asks the gate of the current request before each write, so that a request which is sent too late fails with
// the certainty that none of its bytes left. HTTP/1.1 sends one request at a time on a connection.
type gatedConn struct {
	net.Conn
	current atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(p []byte) (int, error) {
	if g := c.current.Load(); g != nil {
		if err := g.pass(time.Now()); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
