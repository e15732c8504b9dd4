package httpclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const uploadBytes = 64 << 10

// endedConn is a connection whose read side ends after the answer, while the body of the request is being written.
type endedConn struct {
	net.Conn
	answer  *strings.Reader
	asked   chan struct{}
	ended   chan struct{}
	closed  chan struct{}
	written int
	// The write of the body returns writeErr writeTime after the end was read, or when the connection is closed.
	writeTime time.Duration
	writeErr  error
}

func (c *endedConn) Read(p []byte) (int, error) {
	<-c.asked
	n, err := c.answer.Read(p)
	if err == io.EOF {
		close(c.ended)
	}
	return n, err
}

func (c *endedConn) Write(p []byte) (int, error) {
	if c.written == 0 {
		close(c.asked)
	}
	c.written += len(p)
	if c.written <= uploadBytes {
		return len(p), nil
	}
	<-c.ended
	select {
	case <-time.After(c.writeTime):
		return len(p), c.writeErr
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *endedConn) Close() error {
	close(c.closed)
	return nil
}

// Guards against the end of a connection that counts as the end of an answer before the result of the last write is known, since the
// write may have taken the error of a reset, and against a wait for that result that outlives the request.
func TestEndWaitsForTheWriteOfTheRequest(t *testing.T) {
	for name, test := range map[string]struct {
		writeTime time.Duration
		writeErr  error
		complete  bool
	}{
		"reset":     {time.Second, syscall.ECONNRESET, false},
		"read on":   {time.Second, nil, true},
		"cancelled": {time.Hour, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				raw := &endedConn{
					answer: strings.NewReader("HTTP/1.1 200 OK\r\n\r\nanswer"), asked: make(chan struct{}), ended: make(chan struct{}),
					closed: make(chan struct{}), writeTime: test.writeTime, writeErr: test.writeErr,
				}
				transport := New(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return raw, nil }})
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://endpoint/", strings.NewReader(strings.Repeat("a", uploadBytes)))
				assert.NilError(t, err)
				response, err := transport.RoundTrip(request)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				// The write returns only now if the end was not held back.
				time.Sleep(2 * time.Second)
				assert.Equal(t, string(body), "answer")
				assert.Equal(t, err == nil, test.complete, "%v", err)
			})
		})
	}
}
