package file

import "azuredyke.dev/azuredyke/decision/config"

// object is one object as the file holds it. Exactly the field of its kind is set.
type object struct {
	Kind config.Kind
	Name string

	Service       *config.Service
	DataCentre    *config.DataCentre
	Workspace     *config.Workspace
	PlacementRule *config.PlacementRule
	Model         *config.Model
}

// at returns the object at a configuration revision.
func (o object) at(revision int64) *config.Object {
	return &config.Object{
		Ref: config.Ref{Kind: o.Kind, Name: o.Name}, Revision: revision,
		Service: o.Service, DataCentre: o.DataCentre, Workspace: o.Workspace, PlacementRule: o.PlacementRule, Model: o.Model,
	}
}
