package engine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of the errors of this package.
var Error = errs.Class("endpoint")

const (
	// idlePerEndpoint bounds the idle connections kept for each endpoint.
	idlePerEndpoint = 64
	// idleTimeout is shorter than the usual keep-alive time of servers, so that a request seldom meets a closing connection.
	idleTimeout = 20 * time.Second
	// bufferSize is the size of each connection's read and write buffer in bytes. A part of a stream takes a few hundred
	// bytes, and a node holds thousands of connections.
	bufferSize = 1024
)

// Client talks to endpoints. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	scheme    string
}

// NewClient returns a client. A nil tlsConfig means plain text; otherwise it is asked for each new connection, so that
// renewed certificates are used. The connect timeout bounds each dial, TLS included.
func NewClient(connectTimeout time.Duration, tlsConfig func() *tls.Config) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	c := &Client{scheme: "http", transport: &http.Transport{
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      bufferSize,
		WriteBufferSize:     bufferSize,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
	}}
	if tlsConfig != nil {
		c.scheme = "https"
		c.transport.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			tlsDialer := &tls.Dialer{NetDialer: dialer, Config: tlsConfig()}
			conn, err := tlsDialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		}
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// url returns the address of a path at an endpoint.
func (c *Client) url(address, path string) string { return c.scheme + "://" + address + path }

// do sends a request behind a gate.
func (c *Client) do(req *http.Request, g *gate) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*gatedConn); ok {
			conn.current.Store(g)
		}
	}}
	return c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
}
