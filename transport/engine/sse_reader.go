package engine

import (
	"bufio"
	"bytes"
	"io"
)

// maxLine bounds one line of a stream.
const maxLine = 1 << 20

// sseReader reads server-sent events as the HTML standard defines them. Only the fields id and data are used.
type sseReader struct {
	scanner *bufio.Scanner
}

func newSSEReader(r io.Reader) *sseReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufferSize), maxLine)
	return &sseReader{scanner: s}
}

// next returns the next event that has data. A stream that ends within an event gives io.ErrUnexpectedEOF.
func (r *sseReader) next() (sseEvent, error) {
	var e sseEvent
	started := false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			started = false
			continue
		}
		started = true
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			e.id = string(value)
		case "data":
			if e.data != nil {
				e.data = append(e.data, '\n')
			}
			e.data = append(e.data, value...)
			if e.data == nil {
				e.data = []byte{}
			}
		}
	}
	if err := r.scanner.Err(); err != nil {
		return e, err
	}
	if started {
		return e, io.ErrUnexpectedEOF
	}
	return e, io.EOF
}
