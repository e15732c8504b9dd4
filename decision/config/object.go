package config

// Object is one configuration object. Of the fields for the kinds, exactly the one of the object's kind is set. An object
// must not be modified once it is part of a Snapshot.
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

// Complete reports whether exactly the field of the object's kind is set.
func (o *Object) Complete() bool {
	set := map[Kind]bool{
		KindService: o.Service != nil, KindDataCentre: o.DataCentre != nil, KindWorkspace: o.Workspace != nil,
		KindPlacementRule: o.PlacementRule != nil, KindModel: o.Model != nil,
	}
	for kind, isSet := range set {
		if isSet != (kind == o.Kind) {
			return false
		}
	}
	return set[o.Kind]
}
