package engine

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/fake/tcpserver"
)

// Guards against an answer of a plain service that is taken as complete although its endpoint reset the connection while the upload was
// still being written.
func TestAnswerResetDuringTheUploadIsNeverComplete(t *testing.T) {
	const size, tries = 8 << 20, 40
	address := tcpserver.Start(t, tcpserver.EarlyAnswer{
		Answer: "HTTP/1.1 200 OK\r\n\r\npart of the answer", UploadRead: size / 3, End: tcpserver.Reset,
	}.Serve)
	client := NewClient(time.Second, nil)
	defer client.Close()
	complete := 0
	for range tries {
		_, err := client.Call(t.Context(), Request{
			Address: address, Method: http.MethodPost, Path: "/", Body: make([]byte, size), SendDeadline: time.Now().Add(time.Minute),
		})
		if err == nil {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "complete in %d of %d tries", complete, tries)
}
