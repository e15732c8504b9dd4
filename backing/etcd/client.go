package etcd

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/backing"
)

// pingInterval is how long a connection may be silent before it is probed. etcd servers close connections that are
// probed more often than every 5 s.
const pingInterval = 10 * time.Second

// Client is a backing.KV. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	endpoints []endpoint
	timeout   time.Duration
	// preferred is the index of the endpoint that is tried first; it moves on when that endpoint fails.
	preferred atomic.Uint32
}

var _ backing.KV = (*Client)(nil)

// New returns a client for the servers at the given addresses (IP:port), of which at least one is needed. Each call,
// including all its attempts at different addresses, takes at most timeout. Without a tlsConfig the connections are
// HTTP/2 in clear text.
func New(addresses []string, timeout time.Duration, tlsConfig *tls.Config) *Client {
	protocols := &http.Protocols{}
	scheme := "https://"
	if tlsConfig == nil {
		scheme = "http://"
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	// An address that does not answer must leave time for the others within one call.
	connectTimeout := timeout / time.Duration(len(addresses)+1)
	c := &Client{
		timeout: timeout,
		transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			TLSClientConfig:     tlsConfig,
			TLSHandshakeTimeout: connectTimeout,
			Protocols:           protocols,
			IdleConnTimeout:     time.Minute,
			HTTP2:               &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: timeout},
		},
	}
	client := &http.Client{Transport: c.transport}
	for _, address := range addresses {
		c.endpoints = append(c.endpoints, newEndpoint(client, scheme+address, connect.WithGRPC()))
	}
	return c
}

// Close closes the idle connections. Watches end with their contexts.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// attemptResult says how inTurn goes on after an attempt.
type attemptResult uint8

const (
	// attemptAnswered ends the call; the endpoint works.
	attemptAnswered attemptResult = iota
	// attemptLost ends the call; the next call starts with another endpoint.
	attemptLost
	// attemptFailed goes on with the next endpoint.
	attemptFailed
)

// inTurn calls attempt with each endpoint, from the preferred one on, until the call has ended or ctx ends.
func (c *Client) inTurn(ctx context.Context, attempt func(e endpoint, left int) attemptResult) {
	n := len(c.endpoints)
	first := c.preferred.Load()
	for i := range n {
		at := (first + uint32(i)) % uint32(n)
		result := attempt(c.endpoints[at], n-i)
		if result == attemptAnswered {
			return
		}
		c.preferred.CompareAndSwap(at, (at+1)%uint32(n))
		if result == attemptLost || ctx.Err() != nil {
			return
		}
	}
}
