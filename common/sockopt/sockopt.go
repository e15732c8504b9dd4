// Package sockopt sets the socket options that let a silent connection fail.
package sockopt

import (
	"context"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may stay unacknowledged. It spans several retransmissions on a lossy link
	// and stays below the 2 s after which a caller gives up a stream.
	unackedTimeout = 1500 * time.Millisecond
	// probeIdle and probeInterval are the smallest values of the option; with two probes a silent peer is found in 3 s.
	probeIdle     = 1
	probeInterval = 1
	probeCount    = 2
)

// UserTimeout is a net.Dialer's ControlContext and a net.ListenConfig's Control body: it bounds unacknowledged bytes and
// probes idle connections.
func UserTimeout(_ context.Context, network, address string, conn syscall.RawConn) error {
	return Control(network, address, conn)
}

// Control sets the options on a socket before it connects or listens.
func Control(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		for _, o := range []struct{ level, name, value int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds())},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeIdle},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeInterval},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount},
		} {
			if failed == nil {
				failed = unix.SetsockoptInt(int(fd), o.level, o.name, o.value)
			}
		}
	})
	if err != nil {
		return err
	}
	return failed
}
