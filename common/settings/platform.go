package settings

// Platform configures the services of the platform.
type Platform struct {
	KeyValue KeyValue `yaml:"key_value"`
	HostList HostList `yaml:"host_list"`
}
