package hostlist

import (
	"context"
	"io"
	"net/http"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/message"
)

// maxBody bounds the size of a list in bytes. A list of 15,000 hosts takes about 3 MB.
const maxBody = 16 << 20

// HTTP reads the list from a URL.
type HTTP struct {
	client *http.Client
	url    string
}

// NewHTTP returns an HTTP that reads url.
func NewHTTP(client *http.Client, url string) *HTTP { return &HTTP{client: client, url: url} }

// Fetch implements backing.HostList.
func (h *HTTP) Fetch(ctx context.Context) ([]message.Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("server responded with status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return parse(data)
}

var _ backing.HostList = (*HTTP)(nil)
