package settings

// Features switches on optional parts of an edge node. All are off by default.
type Features struct {
	// Rollouts moves the traffic of a service to a new version when operators order it.
	Rollouts bool `yaml:"rollouts"`
	// OrderedAdmission holds requests on the nodes, in the order of rank, deadline and workspace, while engines have no room.
	OrderedAdmission bool `yaml:"ordered_admission"`
	// EndpointSpeed places requests by the measured speed of the endpoints on all services. On a service whose endpoints state the
	// speed of their hosts, that is always done.
	EndpointSpeed bool `yaml:"endpoint_speed"`
	// CallerBuffers buffers streams for slow callers within a budget that all streams of the node share.
	CallerBuffers bool `yaml:"caller_buffers"`
	// PromptAffinity prefers engines that are likely to have the beginning of a prompt in their cache.
	PromptAffinity bool `yaml:"prompt_affinity"`
}
