package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that sends each request on a new connection: a late or duplicate answer cannot be mistaken for
// the answer to another request, no request is lost on an idle connection that the endpoint closes, and net/http never resends one.
type Transport struct {
	checker *Checker
}

// New returns a transport that uses base, which belongs to it from then on. base must have a DialContext, and for TLS a DialTLSContext.
func New(base *http.Transport) *Transport {
	base.DisableKeepAlives = true
	base.DialContext = dialWrapped(base.DialContext)
	if base.DialTLSContext != nil {
		base.DialTLSContext = dialWrapped(base.DialTLSContext)
	}
	return &Transport{checker: NewChecker(base)}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var used *conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn:      func(info httptrace.GotConnInfo) { used = info.Conn.(*conn) },
		WroteRequest: func(info httptrace.WroteRequestInfo) { used.finishRequest(info.Err) },
	})
	response, err := t.checker.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		used.setAnswerEndsWithConn()
	}
	return response, nil
}

// dialWrapped returns a dial function whose connections are of type conn.
func dialWrapped(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(raw), nil
	}
}
