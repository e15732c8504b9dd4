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

// silence is how long a stalled connection is watched.
const silence = 200 * time.Millisecond

// echo serves a listener that sends every line back, until the test ends.
func echo(t *testing.T) string {
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

// dial connects over a link.
func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// says sends a line and returns the answer.
func says(c net.Conn, limit time.Duration) (string, error) {
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return "", err
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	return bufio.NewReader(c).ReadString('\n')
}

// Guards against a stalled link that closes connections or lets data through, against a stall of new connections when only
// the present ones are meant, and against tasks of a link that outlive the test.
func TestStallPresentSparesNewConnections(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("link", func(t *testing.T) {
		l := newLink(t, "echo", echo(t))
		old := dial(t, l)
		_, err := says(old, startTimeout)
		assert.NilError(t, err)
		for range 2 {
			l.StallPresent()
			_, err = says(old, silence)
			timeout, ok := err.(net.Error)
			assert.Assert(t, ok && timeout.Timeout(), "%v", err)
			fresh := dial(t, l)
			answer, err := says(fresh, startTimeout)
			assert.NilError(t, err)
			assert.Equal(t, answer, "hello\n")
		}
		l.Heal()
		l.Stall()
		_, err = says(dial(t, l), silence)
		timeout, ok := err.(net.Error)
		assert.Assert(t, ok && timeout.Timeout(), "%v", err)
		l.Heal()
		_, err = says(dial(t, l), startTimeout)
		assert.NilError(t, err)
		l.Cut()
		_, err = net.Dial("tcp", l.Address())
		assert.Assert(t, err != nil)
	})
}
