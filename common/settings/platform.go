package settings

// Platform configures the services of the platform.
type Platform struct {
	KeyValue KeyValue         `yaml:"key_value"`
	HostList HostListSettings `yaml:"host_list"`
}
