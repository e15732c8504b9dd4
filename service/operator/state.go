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
	// maxAuditLimit limits the audit records in one answer.
	maxAuditLimit = 1000
	// maxFilterBytes limits a filter of a listing.
	maxFilterBytes = 256
	// auditTimeout limits the time to read the records of one listing. A filter without matches reads the whole audit trail.
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
		return nil, connect.NewError(connect.CodeInvalidArgument, errFilterTooLong)
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
	query, err := parseAuditQuery(req.Msg)
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

// parseAuditQuery checks the filters of a request, all of which are optional, and returns them as a query.
func parseAuditQuery(req *operatorv1.ListAuditRequest) (configuration.AuditQuery, error) {
	q := configuration.AuditQuery{Actor: req.GetActor(), Name: req.GetName(), Limit: int(req.GetLimit())}
	if req.GetKind() != operatorv1.Kind_KIND_UNSPECIFIED {
		kind, ok := kinds[req.GetKind()]
		if !ok {
			return q, errMissingKind
		}
		q.Kind = kind
	}
	if len(q.Actor) > maxFilterBytes || len(q.Name) > maxFilterBytes {
		return q, errFilterTooLong
	}
	if q.Limit < 0 {
		return q, errNegativeLimit
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
		Before: formatObject(r.Before), After: formatObject(r.After), Outcome: r.Outcome, Detail: r.Detail,
	}
}

// formatObject returns an object as one line of JSON; empty for nil.
func formatObject(o *config.Object) string {
	if o == nil {
		return ""
	}
	text, err := json.Marshal(o)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
