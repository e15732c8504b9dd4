package engine

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/zeebo/errs"
)

// chunk holds the fields of a part that parsePart reads.
type chunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// parsePart converts a server-sent event to an Event.
func parsePart(e sseEvent) (Event, error) {
	number, err := strconv.Atoi(e.id)
	if err != nil || number < 0 {
		return Event{}, errs.New("event id %q is not a number", e.id)
	}
	event := Event{Kind: EventPart, Number: number, Data: e.data}
	if isIntermediatePart(e.data) {
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
	finishReasonKey = []byte(`"finish_reason":`)
	nullValue       = []byte("null")
	errorKey        = []byte(`"error":`)
)

// isIntermediatePart reports whether it is certain, without decoding the part, that a part neither ends a choice nor carries
// an error. This holds for almost all parts. The keys cannot occur within a JSON string, where their quotes are escaped.
func isIntermediatePart(data []byte) bool {
	_, rest, found := bytes.Cut(data, finishReasonKey)
	return found && bytes.HasPrefix(rest, nullValue) && !bytes.Contains(rest, finishReasonKey) &&
		!bytes.Contains(data, errorKey)
}
