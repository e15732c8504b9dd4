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

// pingInterval is the idle time after which a connection is probed with a ping. etcd servers close connections with more
// than one ping per 5 s.
const pingInterval = 10 * time.Second

// Client implements backing.KV. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	endpoints []endpoint
	timeout   time.Duration
	// preferred is the index of the endpoint that is tried first. When an endpoint fails, the next one becomes preferred.
	preferred atomic.Uint32
}

var _ backing.KV = (*Client)(nil)

// New returns a client for the servers at the given addresses (IP:port). At least one address is required. timeout bounds
// each call, including its attempts at different addresses. If tlsConfig is nil, the connections use HTTP/2 without TLS.
func New(addresses []string, timeout time.Duration, tlsConfig *tls.Config) *Client {
	protocols := &http.Protocols{}
	scheme := "https://"
	if tlsConfig == nil {
		scheme = "http://"
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP2(true)
	}
	// The timeout of a call must allow for attempts at all addresses, even if some do not respond.
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

// Close closes idle connections. It does not end watches, which end with their contexts.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// attemptResult determines how tryEndpoints continues after an attempt.
type attemptResult uint8

const (
	// attemptAnswered ends the call. The preferred endpoint does not change.
	attemptAnswered attemptResult = iota
	// attemptUnknown ends a call whose outcome is unknown. The next call starts with another endpoint.
	attemptUnknown
	// attemptFailed continues the call with the next endpoint.
	attemptFailed
)

// tryEndpoints calls attempt with each endpoint in turn, starting with the preferred one, until an attempt ends the call or
// ctx ends. The parameter left is the number of endpoints that are left to try, including the current one.
func (c *Client) tryEndpoints(ctx context.Context, attempt func(e endpoint, left int) attemptResult) {
	n := len(c.endpoints)
	first := c.preferred.Load()
	for i := range n {
		at := (first + uint32(i)) % uint32(n)
		result := attempt(c.endpoints[at], n-i)
		if result == attemptAnswered {
			return
		}
		c.preferred.CompareAndSwap(at, (at+1)%uint32(n))
		if result == attemptUnknown || ctx.Err() != nil {
			return
		}
	}
}
