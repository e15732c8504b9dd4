package main

import (
	"context"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// method is one method of the client as a method expression.
type method[Req, Resp any] func(operatorv1connect.OperatorServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// call makes one call within the timeout of the connection.
func call[Req, Resp any](ctx context.Context, a *app, m method[Req, Resp], req *Req) (*Resp, error) {
	client, done, err := a.connection.client()
	if err != nil {
		return nil, err
	}
	defer done()
	ctx, cancel := context.WithTimeout(ctx, a.connection.timeout)
	defer cancel()
	resp, err := m(client, ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
