package harness

import (
	"context"
	"io"

	"azuredyke.dev/azuredyke/common/verdict"
)

// PlainAnswer holds the response to a request to the plain service, as the caller received it.
type PlainAnswer struct {
	Status  int
	Verdict string
	Body    string
	// Err holds the connection error.
	Err error
}

// Post sends a request to the plain service through a node. If key is empty, the request has no Idempotency-Key header.
func (s *Site) Post(ctx context.Context, n *Node, path, key, body string) PlainAnswer {
	header := map[string]string{}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	resp, err := s.send(ctx, n, "/services/"+PlainService+path, []byte(body), header)
	if err != nil {
		return PlainAnswer{Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return PlainAnswer{
		Status: resp.StatusCode, Verdict: resp.Header.Get(verdict.Header), Body: string(data), Err: err,
	}
}
