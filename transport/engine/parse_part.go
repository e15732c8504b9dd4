package engine

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/zeebo/errs"
)

// chunk is what the relay needs to know of a part.
type chunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// parsePart translates a server-sent event to an Event.
func parsePart(e sseEvent) (Event, error) {
	number, err := strconv.Atoi(e.id)
	if err != nil || number < 0 {
		return Event{}, errs.New("event id %q is not a number", e.id)
	}
	event := Event{Kind: EventPart, Number: number, Data: e.data}
	if isPlainPart(e.data) {
		return event, nil
	}
	var c chunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		return Event{}, errs.New("part %d: %w", number, err)
	}
	if c.Error != nil {
		return Event{}, errs.New("part %d: endpoint reported an error: %s", number, c.Error)
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil && *choice.FinishReason != "" {
			event.Finished = true
		}
	}
	return event, nil
}

var (
	finishKey  = []byte(`"finish_reason":`)
	nullValue  = []byte("null")
	errorField = []byte(`"error":`)
)

// isPlainPart reports whether a part certainly neither ends a choice nor carries an error, without decoding it; almost all
// parts are plain. The keys cannot occur within a JSON string, where their quotes would be escaped.
func isPlainPart(data []byte) bool {
	_, rest, found := bytes.Cut(data, finishKey)
	return found && bytes.HasPrefix(rest, nullValue) && !bytes.Contains(rest, finishKey) &&
		!bytes.Contains(data, errorField)
}
