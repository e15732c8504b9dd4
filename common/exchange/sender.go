package exchange

import "context"

// Sender sends a request to one endpoint, without retries. Each error is a *verdict.Error whose verdict says whether the
// endpoint may have run the request.
type Sender interface {
	Send(ctx context.Context, r *Request, a Attempt) (*Answer, error)
}
