package harness

import (
	"time"

	"azuredyke.dev/azuredyke/common/settings"
	"azuredyke.dev/azuredyke/fake/engine"
	"azuredyke.dev/azuredyke/fake/kvserver"
	"azuredyke.dev/azuredyke/fake/plainservice"
)

// Options describes a Site. A zero value selects the default given in parentheses.
type Options struct {
	// DataCentres lists the data centres (east).
	DataCentres []string
	// Nodes is the number of nodes, assigned to the data centres round-robin (2).
	Nodes int
	// Engines and PlainEndpoints are the numbers of endpoints in each data centre.
	Engines        int
	PlainEndpoints int
	Engine         engine.Options
	Plain          plainservice.Options
	KV             kvserver.Options
	// HostListLag is the delay after which the host list shows a change.
	HostListLag time.Duration
	// ColdLimit and MaxConcurrency apply to every service (1 and 16).
	ColdLimit      int
	MaxConcurrency int
	// HonoursFencing applies to every service.
	HonoursFencing bool
	// Settings, if not nil, changes the settings of each node before it starts.
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
