package exchange

import "context"

// Sender sends a request to an endpoint once. An error is a *verdict.Error whose verdict says whether the request may
// have run there.
type Sender interface {
	Send(ctx context.Context, r *Request, a Attempt) (*Answer, error)
}
