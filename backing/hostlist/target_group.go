package hostlist

// TargetGroup is one group of the service-discovery JSON.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}
