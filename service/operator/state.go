package operator

import (
	"context"
	"encoding/json"
	"slices"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/decision/config"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/service/configuration"
)

// defaultAuditLimit is the number of audit records returned when a call gives no limit.
const defaultAuditLimit = 100

// ListNodes implements the operator API.
func (s *Server) ListNodes(ctx context.Context, _ *connect.Request[operatorv1.ListNodesRequest]) (*connect.Response[operatorv1.ListNodesResponse], error) {
	nodes, err := s.fleet.Nodes(ctx)
	if err != nil {
		return nil, errorToConnect(err)
	}
	return connect.NewResponse(&operatorv1.ListNodesResponse{Nodes: nodes}), nil
}

// ListEndpoints implements the operator API.
func (s *Server) ListEndpoints(ctx context.Context, req *connect.Request[operatorv1.ListEndpointsRequest]) (*connect.Response[operatorv1.ListEndpointsResponse], error) {
	endpoints, err := s.fleet.Endpoints(ctx, req.Msg.GetService())
	if err != nil {
		return nil, errorToConnect(err)
	}
	return connect.NewResponse(&operatorv1.ListEndpointsResponse{Endpoints: endpoints}), nil
}

// ListCells implements the operator API.
func (s *Server) ListCells(ctx context.Context, _ *connect.Request[operatorv1.ListCellsRequest]) (*connect.Response[operatorv1.ListCellsResponse], error) {
	cells, err := s.fleet.Cells(ctx)
	if err != nil {
		return nil, errorToConnect(err)
	}
	return connect.NewResponse(&operatorv1.ListCellsResponse{Cells: cells}), nil
}

// ListAudit implements the operator API.
func (s *Server) ListAudit(ctx context.Context, req *connect.Request[operatorv1.ListAuditRequest]) (*connect.Response[operatorv1.ListAuditResponse], error) {
	records, err := s.changer.Audit(ctx)
	if err != nil {
		return nil, errorToConnect(err)
	}
	limit := int(req.Msg.GetLimit())
	if limit <= 0 {
		limit = defaultAuditLimit
	}
	out := &operatorv1.ListAuditResponse{}
	for _, r := range slices.Backward(records) {
		if len(out.Records) == limit {
			break
		}
		if matchesAudit(req.Msg, r) {
			out.Records = append(out.Records, auditToProto(r))
		}
	}
	return connect.NewResponse(out), nil
}

func matchesAudit(filter *operatorv1.ListAuditRequest, r configuration.AuditRecord) bool {
	kind, byKind := kinds[filter.GetKind()]
	return (filter.GetActor() == "" || filter.GetActor() == r.Actor) &&
		(!byKind || kind == r.Ref.Kind) &&
		(filter.GetName() == "" || filter.GetName() == r.Ref.Name)
}

func auditToProto(r configuration.AuditRecord) *operatorv1.AuditRecord {
	return &operatorv1.AuditRecord{
		Revision: r.Revision, TimeMs: r.Time.UnixMilli(), Actor: r.Actor, Reason: r.Reason,
		OperationId: r.OperationID, Action: r.Action, Kind: kindToProto(r.Ref.Kind), Name: r.Ref.Name,
		Before: objectText(r.Before), After: objectText(r.After), Outcome: r.Outcome,
	}
}

// objectText shows an object in one line.
func objectText(o *config.Object) string {
	if o == nil {
		return ""
	}
	text, err := json.Marshal(o)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
