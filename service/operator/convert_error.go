package operator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/decision/config"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// errorToConnect translates an error of a change or a read to an RPC error: ABORTED with a ConflictDetail for a conflict,
// INVALID_ARGUMENT, NOT_FOUND, ALREADY_EXISTS for a reused operation id, FAILED_PRECONDITION for a configuration restored to
// an older state, DEADLINE_EXCEEDED, UNAVAILABLE if nothing was changed, and UNKNOWN if the outcome of a change is unknown
// and the client must send it again with the same operation id.
func errorToConnect(err error) error {
	var (
		conflict *config.ConflictError
		invalid  *config.InvalidError
		notFound *config.NotFoundError
		reused   *config.OperationReusedError
		restored *config.RestoredError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return conflictToConnect(conflict)
	case errors.As(err, &invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.As(err, &notFound):
		return connect.NewError(connect.CodeNotFound, err)
	case errors.As(err, &reused):
		return connect.NewError(connect.CodeAlreadyExists, err)
	case errors.As(err, &restored):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case backing.ErrUnknownOutcome.Has(err):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.Is(err, context.DeadlineExceeded):
		return connect.NewError(connect.CodeDeadlineExceeded, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}

func conflictToConnect(conflict *config.ConflictError) error {
	out := connect.NewError(connect.CodeAborted, conflict)
	detail, err := connect.NewErrorDetail(&operatorv1.ConflictDetail{
		Stored:   ObjectToProto(config.Redact(conflict.Stored)),
		Proposed: ObjectToProto(config.Redact(conflict.Proposed)),
	})
	if err == nil {
		out.AddDetail(detail)
	}
	return out
}
