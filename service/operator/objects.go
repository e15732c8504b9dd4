package operator

import (
	"context"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/decision/config"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// ListObjects implements the operator API.
func (s *Server) ListObjects(_ context.Context, req *connect.Request[operatorv1.ListObjectsRequest]) (*connect.Response[operatorv1.ListObjectsResponse], error) {
	kind, ok := kinds[req.Msg.GetKind()]
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMissingKind)
	}
	snapshot := s.current.Load()
	out := &operatorv1.ListObjectsResponse{Revision: snapshot.Revision()}
	for _, o := range snapshot.List(kind) {
		out.Objects = append(out.Objects, ObjectToProto(o))
	}
	return connect.NewResponse(out), nil
}

// GetObject implements the operator API.
func (s *Server) GetObject(_ context.Context, req *connect.Request[operatorv1.GetObjectRequest]) (*connect.Response[operatorv1.GetObjectResponse], error) {
	snapshot := s.current.Load()
	ref := config.Ref{Kind: kinds[req.Msg.GetKind()], Name: req.Msg.GetName()}
	o := snapshot.Get(ref)
	if o == nil {
		return nil, errorToConnect(&config.NotFoundError{Ref: ref})
	}
	return connect.NewResponse(&operatorv1.GetObjectResponse{
		Object: ObjectToProto(o), Revision: snapshot.Revision(),
	}), nil
}

// PutObject implements the operator API.
func (s *Server) PutObject(ctx context.Context, req *connect.Request[operatorv1.PutObjectRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	o := ObjectFromProto(req.Msg.GetObject())
	if o.Kind == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMissingSpec)
	}
	return s.change(ctx, req.Msg.GetChange(), config.Change{
		Ref: o.Ref, Expected: req.Msg.GetExpectedRevision(), Proposed: o,
	})
}

// DeleteObject implements the operator API.
func (s *Server) DeleteObject(ctx context.Context, req *connect.Request[operatorv1.DeleteObjectRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	kind, ok := kinds[req.Msg.GetKind()]
	if !ok {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMissingKind)
	}
	return s.change(ctx, req.Msg.GetChange(), config.Change{
		Ref: config.Ref{Kind: kind, Name: req.Msg.GetName()}, Expected: req.Msg.GetExpectedRevision(),
	})
}

// SetDataCentreState implements the operator API.
func (s *Server) SetDataCentreState(ctx context.Context, req *connect.Request[operatorv1.SetDataCentreStateRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	var out bool
	switch req.Msg.GetState() {
	case operatorv1.DataCentreState_DATA_CENTRE_STATE_IN:
	case operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT:
		out = true
	default:
		return nil, connect.NewError(connect.CodeInvalidArgument, errInvalidState)
	}
	ref := config.Ref{Kind: config.KindDataCentre, Name: req.Msg.GetName()}
	expected := req.Msg.GetExpectedRevision()
	if expected == 0 {
		expected = config.AnyRevision
		// Expects the revision in force on this node, so that a concurrent change of the same data centre is a conflict.
		if stored := s.current.Load().Get(ref); stored != nil {
			expected = stored.Revision
		}
	}
	return s.change(ctx, req.Msg.GetChange(), config.Change{Ref: ref, Expected: expected, SetOut: &out})
}

// change makes one change as the actor of the call and translates the result.
func (s *Server) change(ctx context.Context, info *operatorv1.ChangeInfo, c config.Change) (*connect.Response[operatorv1.ChangeResponse], error) {
	c.OperationID, c.Reason, c.Force = info.GetOperationId(), info.GetReason(), info.GetForce()
	c.Actor = actorOf(ctx).name
	if c.Expected < 0 && c.SetOut == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errNegativeExpectedRevision)
	}
	accepted, err := s.changer.Change(ctx, c)
	if err != nil {
		return nil, errorToConnect(err)
	}
	out := &operatorv1.ChangeResponse{Revision: accepted.Revision, Object: ObjectToProto(accepted.Object)}
	for _, w := range accepted.Warnings {
		out.Warnings = append(out.Warnings, w.String())
	}
	return connect.NewResponse(out), nil
}
