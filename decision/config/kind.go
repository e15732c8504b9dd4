package config

// Kind is the kind of an object.
type Kind string

// Kinds of objects.
const (
	KindService       Kind = "service"
	KindDataCentre    Kind = "data_centre"
	KindWorkspace     Kind = "workspace"
	KindPlacementRule Kind = "placement_rule"
	KindModel         Kind = "model"
)

// Kinds lists all kinds, sorted so that objects refer only to objects of earlier kinds.
var Kinds = []Kind{KindModel, KindDataCentre, KindService, KindWorkspace, KindPlacementRule}
