package engine

import (
	"bufio"
	"bytes"
	"io"
)

// maxLineBytes bounds a line of a stream.
const maxLineBytes = 1 << 20

// sseReader reads server-sent events as defined by the HTML standard. It ignores all fields except id and data.
type sseReader struct {
	scanner *bufio.Scanner
}

func newSSEReader(r io.Reader) *sseReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufferSize), maxLineBytes)
	return &sseReader{scanner: s}
}

// next returns the next event that has data. The error is io.EOF at the end of the stream, and io.ErrUnexpectedEOF if the
// stream ends within an event.
func (r *sseReader) next() (sseEvent, error) {
	var e sseEvent
	inEvent := false
	for r.scanner.Scan() {
		line := r.scanner.Bytes()
		if len(line) == 0 {
			if e.data != nil {
				return e, nil
			}
			inEvent = false
			continue
		}
		inEvent = true
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
	if inEvent {
		return e, io.ErrUnexpectedEOF
	}
	return e, io.EOF
}
