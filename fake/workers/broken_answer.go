package workers

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// uploadReadBeforeReset is the part of an upload that is read before the connection is reset, so that the peer is still writing.
const uploadReadBeforeReset = 2 << 20

// answerBroken sends an answer that the HTTP server of the standard library can't send.
func (w *Worker) answerBroken(out http.ResponseWriter, in *http.Request, behaviour Behaviour) {
	conn, buffered, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := fmt.Sprintf("X-Request-Id: %s\r\n%s: signed-by-%s\r\n", in.Header.Get("X-Request-Id"), signatureHeader, w.ID)
	text := fmt.Sprintf("%s %s by %s", in.Method, in.URL.RequestURI(), w.ID)
	switch behaviour {
	case ResetEarly:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", head, "only a part")
		_, _ = io.CopyN(io.Discard, buffered, min(uploadReadBeforeReset, in.ContentLength))
		_ = conn.(*net.TCPConn).SetLinger(0)
	case InvalidStatus:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 600 X\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
	default:
		// No chunk holds the path and what follows it, so that the chunks as a body differ from the answer.
		path := len(in.Method) + len(" ") + len(in.URL.RequestURI())
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding : chunked\r\n\r\n", head)
		for _, chunk := range []string{text[:path], text[path:], ""} {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(chunk), chunk)
		}
	}
}
