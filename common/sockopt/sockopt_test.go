package sockopt

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a connection that is reset because its caller reads slowly: the peer answers, but its window is closed for
// longer than lost packets would take to be sent again.
func TestSlowReaderKeepsItsConnection(t *testing.T) {
	const pause, size = 2500 * time.Millisecond, 4 << 20
	config := net.ListenConfig{Control: ControlCallers, KeepAlive: -1}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	sent := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = conn.Write(make([]byte, size))
			_ = conn.Close()
		}
		sent <- err
	}()
	dialer := net.Dialer{ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	conn, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	time.Sleep(pause)
	received, err := io.Copy(io.Discard, conn)
	assert.NilError(t, err)
	assert.Equal(t, received, int64(size))
	assert.NilError(t, <-sent)
}

// Guards against a caller that reads nothing and for which the kernel holds MBs beside the node's own buffers.
func TestSendBufferOfBufferedCallersIsBounded(t *testing.T) {
	const most = 256 << 10
	config := net.ListenConfig{Control: ControlBufferedCallers, KeepAlive: -1}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialer := net.Dialer{ControlContext: func(_ context.Context, _, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
	}}
	caller, err := dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = caller.Close() }()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(500*time.Millisecond)))
	written, err := conn.Write(make([]byte, 4<<20))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Assert(t, written <= most, "%d", written)
}
