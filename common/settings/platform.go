package settings

// Platform says how the platform's services are reached.
type Platform struct {
	KeyValue KeyValue         `yaml:"key_value"`
	HostList HostListSettings `yaml:"host_list"`
}
