package harness

import (
	"fmt"
	"os"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// reservePort binds a free loopback port until the test ends and returns its address. The socket never listens, so that a
// server can listen on the port, stop and listen again. Without the reservation, the port may become the local port of another
// connection on the machine in between.
func reservePort(t testing.TB) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, os.NewSyscallError("setsockopt", unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)))
	assert.NilError(t, os.NewSyscallError("bind", unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	bound, ok := name.(*unix.SockaddrInet4)
	assert.Assert(t, ok)
	return fmt.Sprintf("127.0.0.1:%d", bound.Port)
}
