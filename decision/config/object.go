package config

// Object is one configuration object. Exactly the field of its kind is set. Objects are immutable once in a Snapshot.
type Object struct {
	Ref
	// Revision is the configuration revision of the last change of this object.
	Revision int64

	Service       *Service       `json:",omitempty"`
	DataCentre    *DataCentre    `json:",omitempty"`
	Workspace     *Workspace     `json:",omitempty"`
	PlacementRule *PlacementRule `json:",omitempty"`
	Model         *Model         `json:",omitempty"`
}
