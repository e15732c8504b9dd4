package message

// Host is one entry of the platform's host list, which may be out of date.
type Host struct {
	// ID defaults to Address.
	ID      string
	Address string
	// Node is set for azuredyke nodes. Any other host is an endpoint of Service.
	Node       bool
	Service    string
	DataCentre string
	Region     string
	Leaving    bool
}
