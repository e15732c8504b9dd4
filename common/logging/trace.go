package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
)

// maxTraceLine bounds the bytes of one log line that Trace reads.
const maxTraceLine = 1 << 20

// TraceLine is one log line about a request.
type TraceLine struct {
	Time    string
	Message string
	Fields  map[string]any
}

// finalMessages are the messages that are logged when a request ends.
var finalMessages = []string{"request refused", "answer cut", "request answered"}

// EndsRequest reports whether the line was logged at the end of the request.
func (l TraceLine) EndsRequest() bool {
	return slices.ContainsFunc(finalMessages, func(e string) bool { return strings.HasSuffix(l.Message, e) })
}

// Trace returns the lines about a request, ordered by time. It skips text before the JSON of a line, which log collectors
// add, and lines without valid JSON.
func Trace(request string, logs ...io.Reader) ([]TraceLine, error) {
	var lines []TraceLine
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxTraceLine)
		for scanner.Scan() {
			start := bytes.IndexByte(scanner.Bytes(), '{')
			if start < 0 {
				continue
			}
			var fields map[string]any
			decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()[start:]))
			decoder.UseNumber()
			if decoder.Decode(&fields) != nil || fields["request"] != request {
				continue
			}
			l := TraceLine{Fields: fields}
			l.Time, _ = fields["ts"].(string)
			l.Message, _ = fields["msg"].(string)
			for _, key := range []string{"ts", "msg", "request"} {
				delete(fields, key)
			}
			lines = append(lines, l)
		}
		if err := scanner.Err(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	slices.SortStableFunc(lines, func(a, b TraceLine) int { return strings.Compare(a.Time, b.Time) })
	return lines, nil
}
