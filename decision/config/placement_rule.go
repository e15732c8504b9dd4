package config

// PlacementRule restricts the data centres in which matching work may run. An empty Service or Workspace matches all.
type PlacementRule struct {
	Service     string
	Workspace   string
	DataCentres []string
}
