package harness

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

// stallObservation is how long a stalled connection must stay silent.
const stallObservation = 200 * time.Millisecond

// startEchoServer returns the address of a server that echoes all data until the test ends.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// dial connects to the server behind a link.
func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendLine sends a line and returns the line received within the limit.
func sendLine(c net.Conn, limit time.Duration) (string, error) {
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	return bufio.NewReader(c).ReadString('\n')
}

// Guards against a stalled link that closes connections or passes data, against StallOpenConnections also stalling new
// connections, and against link goroutines that outlive the test.
func TestStallOpenConnectionsExemptsNewOnes(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("link", func(t *testing.T) {
		l := newLink(t, "echo", startEchoServer(t))
		old := dial(t, l)
		_, err := sendLine(old, startTimeout)
		assert.NilError(t, err)
		for range 2 {
			l.StallOpenConnections()
			_, err = sendLine(old, stallObservation)
			timeout, ok := err.(net.Error)
			assert.Assert(t, ok && timeout.Timeout(), "%v", err)
			fresh := dial(t, l)
			answer, err := sendLine(fresh, startTimeout)
			assert.NilError(t, err)
			assert.Equal(t, answer, "hello\n")
		}
		l.Heal()
		l.Stall()
		_, err = sendLine(dial(t, l), stallObservation)
		timeout, ok := err.(net.Error)
		assert.Assert(t, ok && timeout.Timeout(), "%v", err)
		l.Heal()
		_, err = sendLine(dial(t, l), startTimeout)
		assert.NilError(t, err)
		l.Cut()
		_, err = net.Dial("tcp", l.Address())
		assert.Assert(t, err != nil)
	})
}
