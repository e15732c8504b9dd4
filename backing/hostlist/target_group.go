package hostlist

// TargetGroup is one group of targets in the service-discovery JSON.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}
