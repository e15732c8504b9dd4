package main

import (
	"context"

	"google.golang.org/protobuf/proto"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/gen/azuredyke/operator/v1/operatorv1connect"
)

// put sends one object. The action in the result is create if expectedRevision is 0, and update otherwise.
func (a *app) put(
	ctx context.Context, kind *objectKind, o *operatorv1.Object, expectedRevision int64, info *operatorv1.ChangeInfo,
) (changeResult, error) {
	resp, err := sendChange(ctx, a, operatorv1connect.OperatorServiceClient.PutObject,
		&operatorv1.PutObjectRequest{Object: o, ExpectedRevision: expectedRevision, Change: info}, info.GetOperationId())
	if err != nil {
		return changeResult{}, err
	}
	result := changeResult{
		Kind: kind.fieldName, Name: o.GetName(), Action: "update", Revision: resp.GetRevision(),
		OperationID: info.GetOperationId(), Warnings: resp.GetWarnings(),
	}
	if expectedRevision == 0 {
		result.Action = "create"
	}
	return result, nil
}

// equalExceptRevision reports whether two objects are equal apart from their revisions.
func equalExceptRevision(a, b *operatorv1.Object) bool {
	a, b = proto.CloneOf(a), proto.CloneOf(b)
	a.Revision, b.Revision = 0, 0
	return proto.Equal(a, b)
}
