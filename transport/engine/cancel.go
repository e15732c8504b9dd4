package engine

import (
	"context"
	"io"
	"net/http"
)

// Cancel stops a generation. It returns nil if the endpoint confirmed that the generation is not running.
func (c *Client) Cancel(ctx context.Context, address, requestID string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.url(address, "/v1/generations/"+requestID), nil)
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := c.requests.RoundTrip(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBodyBytes))
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent, http.StatusNotFound, http.StatusGone:
		return nil
	default:
		return Error.New("cancel answered %d", resp.StatusCode)
	}
}
