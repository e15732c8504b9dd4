package engine

import (
	"net"
	"sync/atomic"
	"time"
)

// guardedConn checks the guard of the current request before each write, so that none of the bytes of a request are sent if
// it fails with ErrGrantLapsed. HTTP/1.1 sends one request at a time on a connection.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[sendGuard]
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	if guard := c.guard.Load(); guard != nil {
		if err := guard.checkWrite(time.Now()); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}
