package settings

import (
	"os"
	"time"
)

// Edge configures one stateless node that shares its endpoints with other nodes.
type Edge struct {
	Node   Node       `yaml:"node"`
	Listen EdgeListen `yaml:"listen"`
	Store  EdgeStore  `yaml:"store"`
	Peers  EdgePeers  `yaml:"peers"`
	Limits EdgeLimits `yaml:"limits"`
	Bounds EdgeBounds `yaml:"bounds"`
	Stop   EdgeStop   `yaml:"stop"`
	// Contracts lists the parts of the platform's terms that are in force. Package boot derives Features from them.
	Contracts []string `yaml:"contracts"`
	Features  Features `yaml:"features"`
	Log       Log      `yaml:"log"`
}

// LoadEdge reads and validates a settings file. It returns all problems of the file as one error.
func LoadEdge(path string) (Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, Error.Wrap(err)
	}
	return ParseEdge(data)
}

// defaultEdge returns the settings of an empty file.
func defaultEdge() Edge {
	return Edge{Limits: EdgeLimits{CoreSpeed: 1}, Log: Log{Level: "info", Format: "json"}, Stop: EdgeStop{Grace: 8 * time.Second}}
}

// ParseEdge decodes and validates settings.
func ParseEdge(data []byte) (Edge, error) {
	e := defaultEdge()
	if err := decode(data, &e, e.check); err != nil {
		return Edge{}, err
	}
	return e, nil
}

// check returns the problems of all invalid values.
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
	if e.Bounds.Rollback < 0 {
		c.add("bounds.rollback", "must not be negative")
	}
	for _, b := range []struct {
		key   string
		value float64
	}{
		{"limits.cpu_share", e.Limits.CPUShare},
		{"limits.core_speed", e.Limits.CoreSpeed},
		{"bounds.retry_ratio", e.Bounds.RetryRatio},
		{"bounds.retry_allowance", e.Bounds.RetryAllowance},
		{"bounds.cold_overage", e.Bounds.ColdOverage},
		{"bounds.cold_slack", e.Bounds.ColdSlack},
		{"bounds.exposure_share", e.Bounds.ExposureShare},
		{"bounds.exposure_slack", e.Bounds.ExposureSlack},
	} {
		if b.value < 0 {
			c.add(b.key, "must not be negative")
		}
	}
	c.oneOf("log.level", e.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", e.Log.Format, "json", "console")
	return c.problems
}
