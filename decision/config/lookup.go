package config

import "slices"

// Service returns a service, or nil if it does not exist.
func (s *Snapshot) Service(name string) *Service {
	if o := s.objects[Ref{KindService, name}]; o != nil {
		return o.Service
	}
	return nil
}

// DataCentre returns a data centre, or nil if it does not exist.
func (s *Snapshot) DataCentre(name string) *DataCentre {
	if o := s.objects[Ref{KindDataCentre, name}]; o != nil {
		return o.DataCentre
	}
	return nil
}

// Workspace returns a workspace, or nil if it does not exist.
func (s *Snapshot) Workspace(name string) *Workspace {
	if o := s.objects[Ref{KindWorkspace, name}]; o != nil {
		return o.Workspace
	}
	return nil
}

// WorkspaceOfKey returns the name of the workspace that has a key with the given SHA-256, in hexadecimal. The look-up uses
// the hash instead of the key, so that its duration discloses nothing about the key.
func (s *Snapshot) WorkspaceOfKey(hash string) (string, bool) {
	name, ok := s.workspaceByKeyHash[hash]
	return name, ok
}

// ServiceOfModel returns the first service, by name, that offers a model.
func (s *Snapshot) ServiceOfModel(model string) (string, bool) {
	for _, o := range s.List(KindService) {
		if o.Service.Type == ServiceTypeModel && slices.Contains(o.Service.Models, model) {
			return o.Name, true
		}
	}
	return "", false
}

// DataCentresFor returns the names of the data centres in which a service may run work of a workspace now, sorted. Data
// centres that are out are excluded.
func (s *Snapshot) DataCentresFor(service, workspace string) []string {
	var allowed []string
	for _, o := range s.List(KindDataCentre) {
		if !o.DataCentre.Out && s.permits(service, workspace, o.Name) {
			allowed = append(allowed, o.Name)
		}
	}
	return allowed
}

// permits reports whether every placement rule that matches the service and the workspace lists the data centre.
func (s *Snapshot) permits(service, workspace, dataCentre string) bool {
	for _, o := range s.objects {
		rule := o.PlacementRule
		if rule == nil {
			continue
		}
		matches := (rule.Service == "" || rule.Service == service) &&
			(rule.Workspace == "" || rule.Workspace == workspace)
		if matches && !slices.Contains(rule.DataCentres, dataCentre) {
			return false
		}
	}
	return true
}
