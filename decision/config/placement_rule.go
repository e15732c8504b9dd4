package config

// PlacementRule restricts where work may run. An empty Service or Workspace matches all.
type PlacementRule struct {
	Service     string
	Workspace   string
	DataCentres []string
}
