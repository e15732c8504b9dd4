package main

import (
	"context"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// clientMethod is a method expression of the operator client.
type clientMethod[Req, Resp any] func(operatorv1connect.OperatorServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)

// call invokes one method of the operator API, with the timeout of the connection.
func call[Req, Resp any](ctx context.Context, a *app, method clientMethod[Req, Resp], req *Req) (*Resp, error) {
	client, closeIdle, err := a.connection.client()
	if err != nil {
		return nil, err
	}
	defer closeIdle()
	ctx, cancel := context.WithTimeout(ctx, a.connection.timeout)
	defer cancel()
	resp, err := method(client, ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
