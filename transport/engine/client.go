package engine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/common/httpclient"
)

// Error is the class of the errors of this package.
var Error = errs.Class("endpoint")

const (
	// maxIdlePerEndpoint bounds the idle connections that are kept for the load reports of each endpoint.
	maxIdlePerEndpoint = 2
	// idleTimeout is shorter than the usual keep-alive timeout of servers, so that a request is seldom sent on a connection
	// that the server is closing.
	idleTimeout = 20 * time.Second
	// bufferSize is the size of each connection's read buffer and write buffer in bytes. A part of a stream has a few hundred
	// bytes, and a node has thousands of connections.
	bufferSize = 1024
	// maxHeaderBytes bounds the size of an answer's headers.
	maxHeaderBytes = 64 << 10
)

// Client sends requests to endpoints. It is safe for concurrent use.
//
// Each request and cancellation uses a new connection: an endpoint may send a second copy of an answer late, and on a connection
// that is in use again the copy would be taken for the answer to the next request. Only load reports, of which each replaces the
// one before, share connections.
type Client struct {
	requests *httpclient.Transport
	reports  *http.Transport
	scheme   string
}

// NewClient returns a Client. If tlsConfig is nil, connections are not encrypted. Otherwise tlsConfig is called for each new
// connection, so that renewed certificates are used. The connect timeout bounds each dial, including the TLS handshake.
func NewClient(connectTimeout time.Duration, tlsConfig func() *tls.Config) *Client {
	c := &Client{
		scheme: "http", requests: httpclient.New(newTransport(connectTimeout, tlsConfig)), reports: newTransport(connectTimeout, tlsConfig),
	}
	if tlsConfig != nil {
		c.scheme = "https"
	}
	return c
}

func newTransport(connectTimeout time.Duration, tlsConfig func() *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	t := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// The default of 10 MB would let a few endpoints that send header lines without end exhaust the memory of a node.
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
	}
	if tlsConfig != nil {
		t.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			tlsDialer := &tls.Dialer{NetDialer: dialer, Config: tlsConfig()}
			conn, err := tlsDialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		}
	}
	return t
}

// Close closes the idle connections.
func (c *Client) Close() { c.reports.CloseIdleConnections() }

// url returns the URL of a path at an endpoint.
func (c *Client) url(address, path string) string { return c.scheme + "://" + address + path }

// sendRequest sends a request on a connection whose writes the guard checks.
func (c *Client) sendRequest(req *http.Request, guard *sendGuard) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := httpclient.Unwrap(info.Conn).(*guardedConn); ok {
			conn.guard.Store(guard)
		}
	}}
	return c.requests.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
