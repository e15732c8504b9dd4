package message

// Host is one entry of the platform's list of hosts. The list lags behind.
type Host struct {
	// ID defaults to Address.
	ID      string
	Address string
	// Node is set for nodes of azuredyke; otherwise the host is an endpoint of Service.
	Node       bool
	Service    string
	DataCentre string
	Region     string
	Leaving    bool
}
