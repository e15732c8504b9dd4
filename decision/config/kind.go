package config

// Kind names a kind of object.
type Kind string

// Kinds of objects.
const (
	KindService       Kind = "service"
	KindDataCentre    Kind = "data_centre"
	KindWorkspace     Kind = "workspace"
	KindPlacementRule Kind = "placement_rule"
	KindModel         Kind = "model"
)

// Kinds lists all kinds in the order in which objects refer to each other: an object refers only to earlier kinds.
var Kinds = []Kind{KindModel, KindDataCentre, KindService, KindWorkspace, KindPlacementRule}
