package settings

import (
	"os"
	"time"
)

// Edge is the settings file of a node that shares its endpoints with other nodes and keeps nothing.
type Edge struct {
	Node   Node       `yaml:"node"`
	Listen EdgeListen `yaml:"listen"`
	Store  EdgeStore  `yaml:"store"`
	Peers  EdgePeers  `yaml:"peers"`
	Limits EdgeLimits `yaml:"limits"`
	Bounds EdgeBounds `yaml:"bounds"`
	Stop   EdgeStop   `yaml:"stop"`
	Log    Log        `yaml:"log"`
}

// LoadEdge reads and checks a settings file. All errors of the file are returned together.
func LoadEdge(path string) (Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, Error.Wrap(err)
	}
	return ParseEdge(data)
}

// defaultEdge returns the settings of an empty file.
func defaultEdge() Edge {
	return Edge{Log: Log{Level: "info", Format: "json"}, Stop: EdgeStop{Grace: 8 * time.Second}}
}

// ParseEdge decodes and checks settings.
func ParseEdge(data []byte) (Edge, error) {
	e := defaultEdge()
	if err := decode(data, &e, e.check); err != nil {
		return Edge{}, err
	}
	return e, nil
}

// check returns every value that is out of range.
func (e *Edge) check() []problem {
	c := &checker{}
	if e.Node.ID == "" {
		c.add("node.id", "is required")
	}
	if e.Node.DataCentre == "" {
		c.add("node.data_centre", "is required")
	}
	c.address("listen.callers", e.Listen.Callers)
	c.address("listen.readiness", e.Listen.Readiness)
	c.address("listen.metrics", e.Listen.Metrics)
	c.address("listen.peers", e.Listen.Peers)
	if e.Listen.PeersAdvertised != "" {
		c.address("listen.peers_advertised", e.Listen.PeersAdvertised)
	}
	c.address("store.address", e.Store.Address)
	for _, seed := range e.Peers.Seeds {
		c.address("peers.seeds", seed)
	}
	if e.Limits.MemoryMB <= 0 {
		c.add("limits.memory_mb", "must be above 0")
	}
	c.positive("bounds.revoke", e.Bounds.Revoke)
	c.positive("bounds.retry_window", e.Bounds.RetryWindow)
	c.positive("stop.grace", e.Stop.Grace)
	for _, b := range []struct {
		key   string
		value float64
	}{
		{"bounds.retry_ratio", e.Bounds.RetryRatio},
		{"bounds.retry_allowance", e.Bounds.RetryAllowance},
		{"bounds.cold_overage", e.Bounds.ColdOverage},
		{"bounds.cold_slack", e.Bounds.ColdSlack},
	} {
		if b.value < 0 {
			c.add(b.key, "must not be negative")
		}
	}
	c.oneOf("log.level", e.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", e.Log.Format, "json", "console")
	return c.problems
}
