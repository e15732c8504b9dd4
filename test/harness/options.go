package harness

import (
	"time"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/fake/kvserver"
	"azuredyke.dev/azuredyke/fake/plainservice"
)

// Options describes a Site. Zero values stand for the defaults in parentheses.
type Options struct {
	// DataCentres lists the data centres (east).
	DataCentres []string
	// Nodes is the number of nodes, spread over the data centres in turn (2).
	Nodes int
	// Engines and Plains are the numbers of endpoints in each data centre.
	Engines int
	Plains  int
	Engine  engine.Options
	Plain   plainservice.Options
	KV      kvserver.Options
	// HostListLag is the lag of the list of hosts.
	HostListLag time.Duration
	// ColdLimit and MaxConcurrency are those of the services (1 and 16).
	ColdLimit      int
	MaxConcurrency int
	// HonoursFencing is the setting of the services.
	HonoursFencing bool
	// Settings changes the settings of a node before it starts.
	Settings func(*settings.Settings)
}

func (o Options) withDefaults() Options {
	if len(o.DataCentres) == 0 {
		o.DataCentres = []string{"east"}
	}
	if o.Nodes == 0 {
		o.Nodes = 2
	}
	if o.ColdLimit == 0 {
		o.ColdLimit = 1
	}
	if o.MaxConcurrency == 0 {
		o.MaxConcurrency = 16
	}
	if o.Engine.Model == "" {
		o.Engine.Model = Model
	}
	return o
}
