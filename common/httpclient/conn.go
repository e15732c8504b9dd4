package httpclient

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// conn is the connection of one request.
//
// An answer without a length ends with its connection, and the end of the connection alone does not show that the answer is whole:
// the kernel reports a reset to one call only, and if that is a write of the request, the next read returns io.EOF. An endpoint that
// crashes while it receives the request may also close its connection like one that has finished. Such an answer therefore counts as
// whole only if the whole request was written, and its end is held back until then.
type conn struct {
	net.Conn
	// scanner belongs to the task of the transport that reads, and after the head to the reader of the body.
	scanner answerScanner
	// answerEndsWithConn is set if the answer has neither a length nor chunks.
	answerEndsWithConn atomic.Bool
	// requestDone is closed when the request was written or its write has failed; requestErr is valid from then on.
	requestDone chan struct{}
	requestErr  error
	// closed is closed by Close.
	closed  chan struct{}
	closing sync.Once
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, requestDone: make(chan struct{}), closed: make(chan struct{})}
}

// Unwrap returns the connection that the dial function of a Transport's base returned, given the one that a trace of the request got.
func Unwrap(traced net.Conn) net.Conn {
	if c, ok := traced.(*conn); ok {
		return c.Conn
	}
	return traced
}

// finishRequest records that the request was written, or the error of its write.
func (c *conn) finishRequest(err error) {
	c.requestErr = err
	close(c.requestDone)
}

// setAnswerEndsWithConn tells that only the end of the connection ends the answer. It is called before the body is read.
func (c *conn) setAnswerEndsWithConn() { c.answerEndsWithConn.Store(true) }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err := c.scanner.scan(p[:n]); err != nil {
		return 0, err
	}
	if err == io.EOF && c.answerEndsWithConn.Load() {
		if err := c.awaitRequest(); err != nil {
			return n, fmt.Errorf("%w: the connection ended before the request was written: %w", io.ErrUnexpectedEOF, err)
		}
	}
	return n, err
}

// awaitRequest waits until the request was written. It returns an error if that fails, or if the transport closes the connection, which it
// does at the latest when the context of the request ends.
func (c *conn) awaitRequest() error {
	select {
	case <-c.requestDone:
		return c.requestErr
	case <-c.closed:
		return net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
