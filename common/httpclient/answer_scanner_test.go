package httpclient

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// readAnswer reads an answer as a client does. It returns the final head with its trailer and the number of heads before it, or an error if
// net/http refuses the answer.
func readAnswer(raw []byte) (*http.Response, int, error) {
	reader := bufio.NewReader(bytes.NewReader(raw))
	for interim := 0; ; interim++ {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, 0, err
		}
		if response.StatusCode >= minStatus || response.StatusCode == http.StatusSwitchingProtocols {
			_, err = io.Copy(io.Discard, response.Body)
			return response, interim, err
		}
	}
}

// hasOnlyTokens reports whether all names are valid.
func hasOnlyTokens(fields http.Header) bool {
	for name := range fields {
		for i := range len(name) {
			if !isTokenByte(name[i]) {
				return false
			}
		}
	}
	return true
}

// Guards against names that the scanner misses, or sound answers that it refuses, because it divides an answer into heads, chunks and
// trailers in another way than net/http, and against results that depend on how the bytes arrive.
func FuzzAnswerScanner(f *testing.F) {
	const head, chunked = "HTTP/1.1 200 OK\r\nX-A: b\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	for _, seed := range []string{
		head + "\r\n", head + "X-B : c\r\n\r\n", head + " X-B: c\r\n\r\n", "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + head + "\r\n",
		head + chunked + "2;x=y\r\nok\r\n0\r\nT: u\r\n\r\n", head + chunked + "0\r\nT : u\r\n\r\n", "HTTP/1.0 200 OK\r\n" + chunked + "0\r\nT : u\r\n\r\n",
		"HTTP/0.1 200 OK\r\n" + chunked + "0\r\n000 ",
		"HTTP/1.1  200\nA: b\n\n", head + "Content-Length: 3\r\n\r\nabc",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var whole, bytewise answerScanner
		err := whole.scan(raw)
		var bytewiseErr error
		for i := 0; i < len(raw) && bytewiseErr == nil; i++ {
			bytewiseErr = bytewise.scan(raw[i : i+1])
		}
		assert.Equal(t, err == nil, bytewiseErr == nil)
		response, interim, readErr := readAnswer(raw)
		if readErr != nil {
			return
		}
		valid := hasOnlyTokens(response.Header) && hasOnlyTokens(response.Trailer)
		if err == nil {
			assert.Assert(t, valid, "missed a name in %v or %v", response.Header, response.Trailer)
			return
		}
		// net/http shows neither the names in interim heads nor those in lines that it has joined.
		hidden := interim > 0 || bytes.Contains(raw, []byte("\n ")) || bytes.Contains(raw, []byte("\n\t"))
		assert.Assert(t, !valid || hidden, "refused: %v", err)
	})
}
