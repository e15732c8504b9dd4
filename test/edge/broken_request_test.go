package edge

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that reach an endpoint although they have an invalid field name, or their body ends before its length or its last
// chunk.
func TestBrokenRequestsReachNoEndpoint(t *testing.T) {
	s, n := startPlainSite(t)
	for name, end := range map[string]string{
		"blank before the colon": "X-Extra : 1\r\nContent-Length: 2\r\n\r\nok",
		"blank in the name":      "X Extra: 1\r\nContent-Length: 2\r\n\r\nok",
		"control byte":           "X\x01Extra: 1\r\nContent-Length: 2\r\n\r\nok",
		"length":                 "Content-Length : 2\r\n\r\nok",
		"chunks":                 "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"cut body":               "Content-Length: 3\r\n\r\nok",
		"cut chunk":              "Transfer-Encoding: chunked\r\n\r\n3\r\nok",
		"no last chunk":          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			id := strings.ReplaceAll(name, " ", "-")
			req := s.Request(n, http.MethodGet, "/booking/1", id)
			var head bytes.Buffer
			assert.NilError(t, req.Write(&head))
			conn, err := net.Dial("tcp", n.Settings.Listen.Callers)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprint(conn, strings.Replace(strings.TrimSuffix(head.String(), "\r\n"), "GET ", "POST ", 1), end)
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 400 "), "%q", answer)
			assert.Equal(t, s.Fleet.Arrivals(t.Context(), id), 0)
		})
	}
}
