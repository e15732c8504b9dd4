package operator

import (
	"connectrpc.com/connect"

	"azuredyke.dev/azuredyke/decision/config"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
	"azuredyke.dev/azuredyke/service/configuration"
)

// recordRoleRefusal records in the audit trail a change that the role of the actor does not permit.
func (s *Server) recordRoleRefusal(a actor, req connect.AnyRequest) {
	c := config.Change{Actor: a.name}
	var info *operatorv1.ChangeInfo
	switch msg := req.Any().(type) {
	case *operatorv1.PutObjectRequest:
		o := ObjectFromProto(msg.GetObject())
		c.Ref, c.Proposed, info = o.Ref, o, msg.GetChange()
	case *operatorv1.DeleteObjectRequest:
		c.Ref, info = config.Ref{Kind: kinds[msg.GetKind()], Name: msg.GetName()}, msg.GetChange()
	case *operatorv1.SetDataCentreStateRequest:
		out := msg.GetState() == operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT
		c.Ref, c.SetOut, info = config.Ref{Kind: config.KindDataCentre, Name: msg.GetName()}, &out, msg.GetChange()
	}
	c.OperationID, c.Reason = info.GetOperationId(), info.GetReason()
	s.changer.RecordRefusal(c, configuration.OutcomePermission, errViewerOnly.Error())
}
