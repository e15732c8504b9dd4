// Package sockopt sets the TCP options that detect an unresponsive peer.
package sockopt

import (
	"context"
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout bounds the time for which sent bytes stay unacknowledged. It allows several retransmissions on a
	// lossy link and is below the 2 s after which a caller abandons a stream.
	unackedTimeout = 1500 * time.Millisecond
	// callerUnackedTimeout is the same for connections of callers. The kernel also applies it while the peer answers but does
	// not read, and a caller may read slowly.
	callerUnackedTimeout = 5 * time.Second
	// callerSendBuffer is the size of the kernel's send buffer for a caller whose unread events the node buffers itself. The kernel
	// doubles it. Without a bound it holds up to 4 MB for each caller that does not read, beside the node's own budget.
	callerSendBuffer = 32 << 10
	// probeIdle and probeInterval are in seconds and have the smallest values that the kernel accepts. With two probes,
	// an unresponsive peer is detected within 3 s.
	probeIdle     = 1
	probeInterval = 1
	probeCount    = 2
)

// ControlContext sets the same options as Control. It can be used as net.Dialer.ControlContext.
func ControlContext(_ context.Context, network, address string, conn syscall.RawConn) error {
	return Control(network, address, conn)
}

// Control bounds the time for which sent bytes stay unacknowledged and enables probes of idle connections. It can be used as
// net.Dialer.Control and net.ListenConfig.Control.
func Control(_, _ string, conn syscall.RawConn) error { return set(conn, unackedTimeout) }

// ControlCallers sets the same options as Control for a listener whose peers may read slowly.
func ControlCallers(_, _ string, conn syscall.RawConn) error { return set(conn, callerUnackedTimeout) }

// ControlBufferedCallers sets the same options as ControlCallers, and bounds the kernel's send buffers.
func ControlBufferedCallers(network, address string, conn syscall.RawConn) error {
	if err := ControlCallers(network, address, conn); err != nil {
		return err
	}
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, callerSendBuffer)
	})
	return errors.Join(err, failed)
}

func set(conn syscall.RawConn, unacked time.Duration) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		for _, o := range []struct{ level, name, value int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds())},
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
