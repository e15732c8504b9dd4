package engine

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a check for intermediate parts that misses the end of a generation or an error.
func TestParsePartFindsTheEnd(t *testing.T) {
	for data, finished := range map[string]bool{
		`{"choices":[{"delta":{"content":"a"},"finish_reason":null}]}`:                          false,
		`{"choices":[{"delta":{},"finish_reason":"stop"}]}`:                                     true,
		`{"choices":[{"finish_reason":null},{"finish_reason":"length"}]}`:                       true,
		`{"choices":[{"delta":{"content":"\"finish_reason\":null"},"finish_reason":"stop"}]}`:   true,
		`{"choices":[{"delta":{"content":"\"finish_reason\":\"stop\""},"finish_reason":null}]}`: false,
		`{"choices":[],"usage":{"completion_tokens":3}}`:                                        false,
	} {
		assert.Assert(t, json.Valid([]byte(data)), data)
		e, err := parsePart(sseEvent{id: "0", data: []byte(data)})
		assert.NilError(t, err)
		assert.Equal(t, e.Finished, finished, data)
	}
	_, err := parsePart(sseEvent{id: "0", data: []byte(`{"choices":[{"finish_reason":null}],"error":{"message":"x"}}`)})
	assert.ErrorContains(t, err, "endpoint reported an error")
}

// Guards against a crash or an endless loop on an invalid stream.
func FuzzReadStream(f *testing.F) {
	f.Add("id: 0\ndata: {\"choices\":[]}\n\ndata: [DONE]\n\n")
	f.Add(":comment\n\nid\ndata\ndata: a\ndata: b")
	f.Fuzz(func(_ *testing.T, text string) {
		r := newSSEReader(strings.NewReader(text))
		for {
			e, err := r.next()
			if err != nil {
				return
			}
			_, _ = parsePart(e)
		}
	})
}

// Guards against a crash on an invalid load report, and against negative figures.
func FuzzParseLoad(f *testing.F) {
	f.Add([]byte(`{"incarnation":"a","running":1,"age_ms":5}`))
	f.Add([]byte(`{"running":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		report, err := parseLoad(data)
		if err == nil && (report.Running < 0 || report.Age < 0 || report.StepTime < 0) {
			t.Fatalf("accepted %+v", report)
		}
	})
}

// Guards against a stream that was cut within an event but is read as a complete stream.
func TestReaderDistinguishesCutEventFromEnd(t *testing.T) {
	r := newSSEReader(strings.NewReader("id: 0\ndata: {}\n\nid: 1\ndata: {"))
	_, err := r.next()
	assert.NilError(t, err)
	_, err = r.next()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}
