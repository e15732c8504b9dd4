package tcpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// EarlyAnswer answers an upload before it was read.
type EarlyAnswer struct {
	// Answer holds the bytes of the answer, with its head.
	Answer string
	// UploadRead is the number of bytes of the upload that are read after the answer was sent.
	UploadRead int64
	// End ends the answer. Whatever it leaves open is closed after it returns.
	End func(*net.TCPConn)
}

// Serve answers one request on a connection that Start has accepted.
func (a EarlyAnswer) Serve(conn net.Conn) {
	upload := bufio.NewReaderSize(conn, 4096)
	if _, err := http.ReadRequest(upload); err != nil {
		return
	}
	if _, err := io.WriteString(conn, a.Answer); err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, upload, a.UploadRead)
	a.End(conn.(*net.TCPConn))
}

// Reset resets the connection, so that the peer loses what it has not read.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// CloseThenReset ends the answer in the regular way, and resets the connection at once.
func CloseThenReset(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	Reset(conn)
}

// LingeringClose closes only the side of the answer, and reads until the peer closes its side.
func LingeringClose(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}
