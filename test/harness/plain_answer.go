package harness

import (
	"context"
	"io"

	"azuredyke.dev/azuredyke/common/verdict"
)

// PlainAnswer is what a caller of a plain service received.
type PlainAnswer struct {
	Status  int
	Verdict string
	Body    string
	// Err is the error of the connection.
	Err error
}

// Post calls the plain service through a node. An empty key is not sent.
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
