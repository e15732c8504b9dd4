package engine

import (
	"context"
	"io"
	"net/http"
	"strconv"
)

// streamCapacity is the number of events that may wait for the reader. Beyond it the stream stops reading its socket.
const streamCapacity = 8

// doneMark ends a stream in the OpenAI-compatible API.
const doneMark = "[DONE]"

// Stream is the task that owns the connection of one running request and sends its parts as events.
type Stream struct {
	events chan Event
	cancel context.CancelFunc
}

// Events returns the channel of the events. It is closed after the last event, or when ctx ends.
func (s *Stream) Events() <-chan Event { return s.events }

// Close ends the task and its connection.
func (s *Stream) Close() { s.cancel() }

// Open starts a request whose answer is a stream.
func (c *Client) Open(ctx context.Context, start Start) *Stream {
	return c.open(ctx, &gate{latest: start.Latest}, func(ctx context.Context) (*http.Request, error) {
		return c.newRequest(ctx, start)
	})
}

// Resume asks an endpoint for the parts of a generation from the given number on.
func (c *Client) Resume(ctx context.Context, address, requestID string, next int) *Stream {
	return c.open(ctx, &gate{}, func(ctx context.Context) (*http.Request, error) {
		url := c.url(address, "/v1/generations/"+requestID+"/stream")
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err == nil && next > 0 {
			req.Header.Set(HeaderLastEventID, strconv.Itoa(next-1))
		}
		return req, err
	})
}

func (c *Client) open(ctx context.Context, g *gate, build func(context.Context) (*http.Request, error)) *Stream {
	ctx, cancel := context.WithCancel(ctx)
	s := &Stream{events: make(chan Event, streamCapacity), cancel: cancel}
	go s.run(ctx, c, g, build)
	return s
}

// run sends the request and relays its answer until the terminal mark, a failure or the end of ctx.
func (s *Stream) run(ctx context.Context, c *Client, g *gate, build func(context.Context) (*http.Request, error)) {
	defer close(s.events)
	defer s.cancel()
	req, err := build(ctx)
	if err != nil {
		s.fail(ctx, &Failure{Err: err})
		return
	}
	resp, err := c.do(req, g)
	if err != nil {
		s.fail(ctx, &Failure{Sent: g.sent.Load(), Err: err})
		return
	}
	if resp.StatusCode != http.StatusOK {
		s.fail(ctx, statusFailure(resp))
		return
	}
	defer resp.Body.Close()
	if err := s.relay(ctx, resp.Body); err != nil {
		s.fail(ctx, &Failure{Sent: true, Status: resp.StatusCode, Err: err})
	}
}

// relay sends the parts of an answer. It returns nil after the terminal mark.
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
		if string(e.data) == doneMark {
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

// send delivers an event, or reports false when ctx has ended.
func (s *Stream) send(ctx context.Context, e Event) bool {
	select {
	case s.events <- e:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Stream) fail(ctx context.Context, f *Failure) {
	s.send(ctx, Event{Kind: EventFailed, Failure: f})
}
