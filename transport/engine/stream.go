package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
)

// streamCapacity is the number of buffered events. When the buffer is full, the stream stops reading its connection.
const streamCapacity = 8

// terminator is the data of the last event of a stream in the OpenAI-compatible API.
const terminator = "[DONE]"

// Stream is the task that owns the connection of a running request and sends the parts of the answer as events.
type Stream struct {
	events chan Event
	cancel context.CancelFunc
}

// Events returns the channel of the events. The channel is closed after the last event, or when ctx ends.
func (s *Stream) Events() <-chan Event { return s.events }

// Close stops the task and closes its connection.
func (s *Stream) Close() { s.cancel() }

// OpenStream starts a request whose answer is a stream.
func (c *Client) OpenStream(ctx context.Context, r Request) *Stream {
	return c.open(ctx, &sendGuard{deadline: r.SendDeadline}, func(ctx context.Context) (*http.Request, error) {
		return c.newHTTPRequest(ctx, r)
	})
}

// Resume requests the parts of a generation from the given number on.
func (c *Client) Resume(ctx context.Context, address, requestID string, next int) *Stream {
	return c.open(ctx, &sendGuard{}, func(ctx context.Context) (*http.Request, error) {
		url := c.url(address, "/v1/generations/"+requestID+"/stream")
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err == nil && next > 0 {
			req.Header.Set(HeaderLastEventID, strconv.Itoa(next-1))
		}
		return req, err
	})
}

func (c *Client) open(ctx context.Context, guard *sendGuard, build func(context.Context) (*http.Request, error)) *Stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{events: make(chan Event, streamCapacity), cancel: cancel}
	go s.run(ctx, c, guard, build)
	return s
}

// run sends the request and relays its answer until the terminator, a failure or the end of ctx.
func (s *Stream) run(ctx context.Context, c *Client, guard *sendGuard, build func(context.Context) (*http.Request, error)) {
	defer close(s.events)
	defer s.cancel()
	req, err := build(ctx)
	if err != nil {
		s.sendFailure(ctx, &Failure{Err: err})
		return
	}
	resp, err := c.sendRequest(req, guard)
	if err != nil {
		s.sendFailure(ctx, &Failure{Sent: guard.sent.Load(), Err: guard.cause(err)})
		return
	}
	if resp.StatusCode != http.StatusOK {
		s.sendFailure(ctx, newStatusFailure(resp))
		return
	}
	defer resp.Body.Close()
	if err := s.relay(ctx, resp.Body); err != nil {
		s.sendFailure(ctx, &Failure{Sent: true, Status: resp.StatusCode, Err: err})
	}
}

// relay sends the parts of an answer as events. It returns nil after the terminator.
func (s *Stream) relay(ctx context.Context, body io.Reader) error {
	reader := newSSEReader(body)
	for {
		e, err := reader.next()
		if err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		if string(e.data) == terminator {
			s.send(ctx, Event{Kind: EventEnd})
			return nil
		}
		event, err := parsePart(e)
		if err != nil {
			return err
		}
		if !s.send(ctx, event) {
			return ctx.Err()
		}
	}
}

// send sends an event, and returns false if ctx ends first.
func (s *Stream) send(ctx context.Context, e Event) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Stream) sendFailure(ctx context.Context, f *Failure) {
	s.send(ctx, Event{Kind: EventFailed, Failure: f})
}
