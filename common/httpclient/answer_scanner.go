package httpclient

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxWordBytes bounds the part of a word that is kept. It exceeds the length of all words that the scanner compares.
	maxWordBytes = 24
	// chunkEndBytes is the number of bytes between the data of a chunk and the size of the next one.
	chunkEndBytes = 2
	// chunkSizeBits leaves room to add chunkEndBytes to a size.
	chunkSizeBits = 62
)

// answerScanner checks the field names in the bytes of one answer: in its heads, of which those with a status of 1xx precede the final
// one, and in its trailers. The header that net/http returns does not show all names: net/http joins a line that begins with a blank to
// the line before, and discards the heads with a status of 1xx.
//
// Everything else is left to net/http, which refuses what the scanner cannot follow, such as a chunk without a valid size.
type answerScanner struct {
	state scanState
	// word holds the start of the present version, status, name, value or chunk size.
	word []byte
	// oldVersion is set for versions before HTTP/1.1, which have no chunks.
	oldVersion bool
	// interim is set if another head follows the present one.
	interim bool
	// transferEncoding is set in the value of the field with that name.
	transferEncoding bool
	// chunked is set if the body consists of chunks, and trailer after the last one.
	chunked, trailer bool
	// skip is the number of bytes of the present chunk that are still to come.
	skip uint64
}

// scan checks the next bytes of the answer.
func (s *answerScanner) scan(p []byte) error {
	for len(p) > 0 && s.state != scanDone {
		if s.skip > 0 {
			n := min(s.skip, uint64(len(p)))
			s.skip -= n
			p = p[n:]
			continue
		}
		if err := s.scanByte(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

func (s *answerScanner) scanByte(b byte) error {
	switch s.state {
	case scanVersion:
		if b != ' ' {
			s.keep(b)
			break
		}
		s.oldVersion = string(s.word) < "HTTP/1.1"
		s.enter(scanStatus)
	case scanStatus:
		s.scanStatus(b)
	case scanReason:
		if b == '\n' {
			s.enter(scanLineStart)
		}
	case scanLineStart:
		return s.scanLineStart(b)
	case scanEmptyLine:
		if b != '\n' {
			return newNameError(b)
		}
		s.endFields()
	case scanName:
		return s.scanName(b)
	case scanValue:
		if b != '\n' {
			s.keep(b)
			break
		}
		s.endField()
	case scanChunkSize:
		s.scanChunkSize(b)
	case scanChunkExtension:
		if b == '\n' {
			s.beginChunk()
		}
	}
	return nil
}

// scanStatus reads a byte of the status, which net/http also takes after several blanks.
func (s *answerScanner) scanStatus(b byte) {
	switch b {
	case ' ', '\r', '\n':
		if len(s.word) == 0 {
			break
		}
		// net/http returns an answer with the status 101 as the final one.
		s.interim = s.word[0] == '1' && string(s.word) != "101"
		s.enter(scanReason)
		if b == '\n' {
			s.enter(scanLineStart)
		}
	default:
		s.keep(b)
	}
}

// scanLineStart reads the first byte of a line with a field, or of the empty line that ends the fields.
func (s *answerScanner) scanLineStart(b byte) error {
	switch b {
	case '\n':
		s.endFields()
	case '\r':
		s.enter(scanEmptyLine)
	case ':':
		return newNameError(b)
	default:
		s.enter(scanName)
		return s.scanName(b)
	}
	return nil
}

func (s *answerScanner) scanName(b byte) error {
	switch {
	case b == ':':
		s.transferEncoding = strings.EqualFold(string(s.word), "Transfer-Encoding")
		s.enter(scanValue)
	case isTokenByte(b):
		s.keep(b)
	default:
		return newNameError(b)
	}
	return nil
}

// endField ends a line with a field.
func (s *answerScanner) endField() {
	if s.transferEncoding && strings.EqualFold(strings.TrimSpace(string(s.word)), "chunked") {
		s.chunked = !s.oldVersion
	}
	s.enter(scanLineStart)
}

// endFields ends a head or the trailers.
func (s *answerScanner) endFields() {
	switch {
	case s.interim:
		s.chunked = false
		s.enter(scanVersion)
	case s.chunked && !s.trailer:
		s.enter(scanChunkSize)
	default:
		s.enter(scanDone)
	}
}

func (s *answerScanner) scanChunkSize(b byte) {
	switch b {
	case '\n':
		s.beginChunk()
	case ';':
		s.state = scanChunkExtension
	default:
		s.keep(b)
	}
}

// beginChunk ends the line with the size of a chunk. The last chunk has the size 0.
func (s *answerScanner) beginChunk() {
	size, err := strconv.ParseUint(strings.TrimSpace(string(s.word)), 16, chunkSizeBits)
	switch {
	case err != nil:
		s.enter(scanDone)
	case size == 0:
		s.trailer = true
		s.enter(scanLineStart)
	default:
		s.skip = size + chunkEndBytes
		s.enter(scanChunkSize)
	}
}

// enter begins the next word in a state.
func (s *answerScanner) enter(state scanState) { s.state, s.word = state, s.word[:0] }

// keep adds a byte to the present word, except blanks before it.
func (s *answerScanner) keep(b byte) {
	if len(s.word) < maxWordBytes && (len(s.word) > 0 || b != ' ' && b != '\t') {
		s.word = append(s.word, b)
	}
}

func newNameError(b byte) error { return fmt.Errorf("byte %q in the name of a header field", b) }
