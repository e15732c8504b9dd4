package operator

import (
	"time"

	"azuredyke.dev/azuredyke/decision/config"
	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// kinds maps the RPC kinds to the kinds of the configuration.
var kinds = map[operatorv1.Kind]config.Kind{
	operatorv1.Kind_KIND_SERVICE:        config.KindService,
	operatorv1.Kind_KIND_DATA_CENTRE:    config.KindDataCentre,
	operatorv1.Kind_KIND_WORKSPACE:      config.KindWorkspace,
	operatorv1.Kind_KIND_PLACEMENT_RULE: config.KindPlacementRule,
	operatorv1.Kind_KIND_MODEL:          config.KindModel,
}

// kindToProto returns the RPC kind for a configuration kind.
func kindToProto(kind config.Kind) operatorv1.Kind {
	for p, k := range kinds {
		if k == kind {
			return p
		}
	}
	return operatorv1.Kind_KIND_UNSPECIFIED
}

// ObjectToProto translates a configuration object. It returns nil for nil.
func ObjectToProto(o *config.Object) *operatorv1.Object {
	if o == nil {
		return nil
	}
	p := &operatorv1.Object{Name: o.Name, Revision: o.Revision}
	switch {
	case o.Service != nil:
		p.Spec = &operatorv1.Object_Service{Service: serviceToProto(o.Service)}
	case o.DataCentre != nil:
		p.Spec = &operatorv1.Object_DataCentre{DataCentre: dataCentreToProto(o.DataCentre)}
	case o.Workspace != nil:
		p.Spec = &operatorv1.Object_Workspace{Workspace: workspaceToProto(o.Workspace)}
	case o.PlacementRule != nil:
		p.Spec = &operatorv1.Object_PlacementRule{PlacementRule: &operatorv1.PlacementRuleSpec{
			Service: o.PlacementRule.Service, Workspace: o.PlacementRule.Workspace,
			DataCentres: o.PlacementRule.DataCentres,
		}}
	case o.Model != nil:
		p.Spec = &operatorv1.Object_Model{Model: &operatorv1.ModelSpec{
			Version: o.Model.Version, Adapters: o.Model.Adapters,
		}}
	}
	return p
}

// ObjectFromProto translates an RPC object. The kind of the result is empty if the RPC object has no spec.
func ObjectFromProto(p *operatorv1.Object) *config.Object {
	o := &config.Object{Ref: config.Ref{Name: p.GetName()}, Revision: p.GetRevision()}
	switch spec := p.GetSpec().(type) {
	case *operatorv1.Object_Service:
		o.Kind, o.Service = config.KindService, serviceFromProto(spec.Service)
	case *operatorv1.Object_DataCentre:
		o.Kind, o.DataCentre = config.KindDataCentre, dataCentreFromProto(spec.DataCentre)
	case *operatorv1.Object_Workspace:
		o.Kind, o.Workspace = config.KindWorkspace, workspaceFromProto(spec.Workspace)
	case *operatorv1.Object_PlacementRule:
		o.Kind = config.KindPlacementRule
		o.PlacementRule = &config.PlacementRule{
			Service: spec.PlacementRule.GetService(), Workspace: spec.PlacementRule.GetWorkspace(),
			DataCentres: spec.PlacementRule.GetDataCentres(),
		}
	case *operatorv1.Object_Model:
		o.Kind = config.KindModel
		o.Model = &config.Model{Version: spec.Model.GetVersion(), Adapters: spec.Model.GetAdapters()}
	}
	return o
}

// serviceTypes maps the RPC service types to the service types of the configuration.
var serviceTypes = map[operatorv1.ServiceType]config.ServiceType{
	operatorv1.ServiceType_SERVICE_TYPE_MODEL: config.ServiceTypeModel,
	operatorv1.ServiceType_SERVICE_TYPE_PLAIN: config.ServiceTypePlain,
}

func serviceToProto(s *config.Service) *operatorv1.ServiceSpec {
	p := &operatorv1.ServiceSpec{
		Models: s.Models, ColdLimit: int32(s.ColdLimit), WarmAfter: int32(s.WarmAfter), MaxConcurrency: int32(s.MaxConcurrency),
		Cells: int32(s.Cells), HonoursFencing: s.HonoursFencing, RequireIdempotencyKey: s.RequireIdempotencyKey,
		QueueTimeoutMs: s.QueueTimeout.Milliseconds(),
	}
	for t, kind := range serviceTypes {
		if kind == s.Type {
			p.Type = t
		}
	}
	for _, rule := range s.PathRules {
		p.PathRules = append(p.PathRules, &operatorv1.PathRule{
			Method: rule.Method, PathPrefix: rule.PathPrefix, Repeatable: rule.Repeatable,
		})
	}
	return p
}

func serviceFromProto(p *operatorv1.ServiceSpec) *config.Service {
	s := &config.Service{
		Type: serviceTypes[p.GetType()], Models: p.GetModels(), ColdLimit: int(p.GetColdLimit()), WarmAfter: int(p.GetWarmAfter()),
		MaxConcurrency: int(p.GetMaxConcurrency()), Cells: int(p.GetCells()), HonoursFencing: p.GetHonoursFencing(),
		RequireIdempotencyKey: p.GetRequireIdempotencyKey(),
		QueueTimeout:          time.Duration(p.GetQueueTimeoutMs()) * time.Millisecond,
	}
	for _, rule := range p.GetPathRules() {
		s.PathRules = append(s.PathRules, config.PathRule{
			Method: rule.GetMethod(), PathPrefix: rule.GetPathPrefix(), Repeatable: rule.GetRepeatable(),
		})
	}
	return s
}

func dataCentreToProto(d *config.DataCentre) *operatorv1.DataCentreSpec {
	state := operatorv1.DataCentreState_DATA_CENTRE_STATE_IN
	if d.Out {
		state = operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT
	}
	return &operatorv1.DataCentreSpec{Region: d.Region, State: state}
}

func dataCentreFromProto(p *operatorv1.DataCentreSpec) *config.DataCentre {
	return &config.DataCentre{
		Region: p.GetRegion(), Out: p.GetState() == operatorv1.DataCentreState_DATA_CENTRE_STATE_OUT,
	}
}

func workspaceToProto(w *config.Workspace) *operatorv1.WorkspaceSpec {
	return &operatorv1.WorkspaceSpec{
		KeyHashes: w.KeyHashes, Priority: int32(w.Priority), RequestsPerSecond: w.RequestsPerSecond,
		TokensPerSecond: w.TokensPerSecond, MaxConcurrency: int32(w.MaxConcurrency), Weight: w.Weight,
	}
}

func workspaceFromProto(p *operatorv1.WorkspaceSpec) *config.Workspace {
	return &config.Workspace{
		KeyHashes: p.GetKeyHashes(), Priority: int(p.GetPriority()), RequestsPerSecond: p.GetRequestsPerSecond(),
		TokensPerSecond: p.GetTokensPerSecond(), MaxConcurrency: int(p.GetMaxConcurrency()), Weight: p.GetWeight(),
	}
}
