package engine

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/tcpserver"
)

// serveLateCopies answers each request with its path. Before the answer to a second request on a connection, it sends a second
// copy of the first answer.
func serveLateCopies(conn net.Conn) {
	reader, late := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.URL.Path), request.URL.Path)
		if _, err := fmt.Fprint(conn, late, answer); err != nil {
			return
		}
		late = answer
	}
}

// Guards against a second copy of an answer that arrives on a connection in use again and reaches the next caller.
func TestLateCopyReachesNoOtherCaller(t *testing.T) {
	client := NewClient(time.Second, nil)
	defer client.Close()
	address := tcpserver.Start(t, serveLateCopies)
	for i := range 5 {
		path := fmt.Sprintf("/call-%d", i)
		answer, err := client.Call(t.Context(), Request{
			Address: address, Method: http.MethodGet, Path: path, SendDeadline: time.Now().Add(time.Minute),
		})
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), path)
	}
}
