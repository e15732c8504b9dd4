package tcpserver

import (
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// unreadBytes is the size of the kernel's receive buffer of a connection that is not read.
const unreadBytes = 4096

// StartUnread accepts connections on a loopback port until the test ends, and reads nothing from them. It returns the address.
func StartUnread(t testing.TB) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, unreadBytes)
		})
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-accepting
	})
	return listener.Addr().String()
}
