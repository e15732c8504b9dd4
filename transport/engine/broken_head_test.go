package engine

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/tcpserver"
)

// callRaw calls a plain service that answers with the given bytes and closes the connection.
func callRaw(t *testing.T, raw string) (Answer, error) {
	t.Helper()
	address := tcpserver.Start(t, func(conn net.Conn) {
		if n, _ := conn.Read(make([]byte, 4096)); n > 0 {
			_, _ = io.WriteString(conn, raw)
		}
	})
	client := NewClient(time.Second, nil)
	defer client.Close()
	return client.Call(t.Context(), Request{Address: address, Method: http.MethodGet, Path: "/", SendDeadline: time.Now().Add(time.Minute)})
}

// assertMayHaveRun checks that an answer was refused and that the request may have run.
func assertMayHaveRun(t *testing.T, err error, raw string) {
	t.Helper()
	var failure *Failure
	if assert.Check(t, errors.As(err, &failure), "%q", raw) {
		assert.Check(t, !failure.NotRun(), "%q", raw)
	}
}

// Guards against an answer of a plain service with an invalid status that reaches a caller.
func TestInvalidStatusesAreRefused(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600", "999"} {
		raw := "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok"
		_, err := callRaw(t, raw)
		assertMayHaveRun(t, err, raw)
	}
}

// Guards against an answer of a plain service with an invalid field name that reaches a caller, or that hides the framing of the body.
func TestInvalidFieldNamesAreRefused(t *testing.T) {
	for _, line := range []string{"X-Extra : 1", "X Extra: 1", " X-Extra: 1", "Content-Length : 2", "Transfer-Encoding : chunked"} {
		raw := "HTTP/1.1 200 OK\r\nX-Sum: a\r\n" + line + "\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		_, err := callRaw(t, raw)
		assertMayHaveRun(t, err, raw)
	}
}
