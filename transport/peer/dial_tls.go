package peer

import (
	"context"
	"crypto/tls"
	"net"
)

// dialTLS returns a dial function that asks for the TLS configuration each time.
func dialTLS(o Options) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		// The dialler sets the server name from the address. WebSocket needs HTTP/1.1.
		config := o.TLS().Clone()
		config.NextProtos = []string{"http/1.1"}
		d := tls.Dialer{NetDialer: &net.Dialer{Timeout: o.DialTimeout}, Config: config}
		return d.DialContext(ctx, network, address)
	}
}
