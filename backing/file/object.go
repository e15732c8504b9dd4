package file

import "azuredyke.dev/azuredyke/decision/config"

// object is one object of the file. Only the field of its kind is set.
type object struct {
	Kind config.Kind
	Name string

	Service       *config.Service
	DataCentre    *config.DataCentre
	Workspace     *config.Workspace
	PlacementRule *config.PlacementRule
	Model         *config.Model
}

// atRevision returns the configuration object with the given revision.
func (o object) atRevision(revision int64) *config.Object {
	return &config.Object{
		Ref: config.Ref{Kind: o.Kind, Name: o.Name}, Revision: revision,
		Service: o.Service, DataCentre: o.DataCentre, Workspace: o.Workspace, PlacementRule: o.PlacementRule, Model: o.Model,
	}
}
