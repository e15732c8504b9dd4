package main

import (
	"context"

	"google.golang.org/protobuf/proto"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// put sends one object. Its action is create for an expected revision of 0, and update otherwise.
func (a *app) put(ctx context.Context, kind *objectKind, o *operatorv1.Object, expected int64, info *operatorv1.ChangeInfo) (changeResult, error) {
	resp, err := change(ctx, a, operatorv1connect.OperatorServiceClient.PutObject,
		&operatorv1.PutObjectRequest{Object: o, ExpectedRevision: expected, Change: info}, info.GetOperationId())
	if err != nil {
		return changeResult{}, err
	}
	result := changeResult{
		Kind: kind.field, Name: o.GetName(), Action: "update", Revision: resp.GetRevision(),
		OperationID: info.GetOperationId(), Warnings: resp.GetWarnings(),
	}
	if expected == 0 {
		result.Action = "create"
	}
	return result, nil
}

// sameSpec reports whether two objects differ only in their revision.
func sameSpec(a, b *operatorv1.Object) bool {
	a, b = proto.CloneOf(a), proto.CloneOf(b)
	a.Revision, b.Revision = 0, 0
	return proto.Equal(a, b)
}
