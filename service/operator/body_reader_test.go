package operator

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
)

// asConnectError finds a *connect.Error in the chain of err.
func asConnectError(err error, target **connect.Error) bool { return errors.As(err, target) }

// deadlineRecorder is a response recorder that records the read deadlines of its connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadlines []time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (r *deadlineRecorder) SetReadDeadline(deadline time.Time) error {
	r.deadlines = append(r.deadlines, deadline)
	return nil
}

// slowBody is a request body that does not arrive before the read deadline.
type slowBody struct{}

func (slowBody) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Err: errors.New("i/o timeout")}
}

// Guards against a client that sends its body slowly without end, and against a read deadline that ends a running call.
func TestBodyIsReadWithinDeadline(t *testing.T) {
	var served string
	h := bodyReader{errors: connect.NewErrorWriter(), next: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		served = string(body)
	})}
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", bytes.NewBufferString("hello")))
	assert.Equal(t, served, "hello")
	assert.Equal(t, len(w.deadlines), 2)
	assert.Assert(t, !w.deadlines[0].IsZero() && w.deadlines[1].IsZero())

	served = "not served"
	w = &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/", slowBody{}))
	assert.Equal(t, served, "not served")
	assert.Equal(t, w.Code, http.StatusRequestTimeout)
}
