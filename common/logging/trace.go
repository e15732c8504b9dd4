package logging

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
)

// maxTraceLine bounds one line of a log that is read.
const maxTraceLine = 1 << 20

// TraceLine is one line of a log about a request.
type TraceLine struct {
	Time    string
	Message string
	Fields  map[string]any
}

// endings are the messages with which a request ends, and which therefore decide.
var endings = []string{"request refused", "answer cut", "request answered"}

// Decides reports whether the request ended with the line.
func (l TraceLine) Decides() bool {
	return slices.ContainsFunc(endings, func(e string) bool { return strings.HasSuffix(l.Message, e) })
}

// Trace returns the lines about a request, in the order of their times. Text before a line's JSON, as collectors add it, is
// passed over, as are lines that are none.
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
			for _, shown := range []string{"ts", "msg", "request"} {
				delete(fields, shown)
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
