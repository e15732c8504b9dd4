package peer

import (
	"context"
	"crypto/tls"
	"net"
)

// newTLSDialFunc returns a dial function that reads the TLS configuration for each connection.
func newTLSDialFunc(o Options) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		// tls.Dialer sets the server name from the address. WebSocket requires HTTP/1.1.
		config := o.TLS().Clone()
		config.NextProtos = []string{"http/1.1"}
		d := tls.Dialer{NetDialer: &net.Dialer{Timeout: o.DialTimeout}, Config: config}
		return d.DialContext(ctx, network, address)
	}
}
