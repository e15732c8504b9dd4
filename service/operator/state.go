package operator

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/decision/config"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/service/configuration"
)

const (
	// defaultAuditLimit is the number of audit records returned when a call gives no limit.
	defaultAuditLimit = 100
	// maxAuditLimit bounds the records of one answer.
	maxAuditLimit = 1000
	// maxFilterBytes bounds a filter of a listing.
	maxFilterBytes = 256
	// auditTimeout bounds the reads of one listing; a filter that matches nothing reads the whole trail.
	auditTimeout = 15 * time.Second
)

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
	if len(req.Msg.GetService()) > maxFilterBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, errFilter)
	}
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
	query, err := auditQuery(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	records, err := s.changer.Audit(ctx, query)
	if err != nil {
		return nil, errorToConnect(err)
	}
	out := &operatorv1.ListAuditResponse{}
	for _, r := range records {
		out.Records = append(out.Records, auditToProto(r))
	}
	return connect.NewResponse(out), nil
}

// auditQuery checks the filters, all of which may be left out.
func auditQuery(req *operatorv1.ListAuditRequest) (configuration.AuditQuery, error) {
	q := configuration.AuditQuery{Actor: req.GetActor(), Name: req.GetName(), Limit: int(req.GetLimit())}
	if req.GetKind() != operatorv1.Kind_KIND_UNSPECIFIED {
		kind, ok := kinds[req.GetKind()]
		if !ok {
			return q, errKind
		}
		q.Kind = kind
	}
	if len(q.Actor) > maxFilterBytes || len(q.Name) > maxFilterBytes {
		return q, errFilter
	}
	if q.Limit < 0 {
		return q, errLimit
	}
	if q.Limit == 0 {
		q.Limit = defaultAuditLimit
	}
	q.Limit = min(q.Limit, maxAuditLimit)
	return q, nil
}

func auditToProto(r configuration.AuditRecord) *operatorv1.AuditRecord {
	return &operatorv1.AuditRecord{
		Revision: r.Revision, TimeMs: r.Time.UnixMilli(), Actor: r.Actor, Reason: r.Reason,
		OperationId: r.OperationID, Action: r.Action, Kind: kindToProto(r.Ref.Kind), Name: r.Ref.Name,
		Before: objectText(r.Before), After: objectText(r.After), Outcome: r.Outcome, Detail: r.Detail,
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
