package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// problem describes one invalid value.
type problem struct {
	key     string
	message string
}

// checker validates values and collects the problems that it finds.
type checker struct {
	problems []problem
}

func (c *checker) add(key, format string, args ...any) {
	c.problems = append(c.problems, problem{key: key, message: fmt.Sprintf(format, args...)})
}

func (c *checker) address(key, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(key, "%q is not an IP address with a port", value)
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(key, "%q is not one of %v", value, allowed)
	}
}

func (c *checker) positive(key string, value time.Duration) {
	if value <= 0 {
		c.add(key, "must be above 0, like \"1.5s\"")
	}
}

func (c *checker) notNegative(key string, value time.Duration) {
	if value < 0 {
		c.add(key, "must not be negative")
	}
}

// check returns the problems of all invalid values.
func (s *Settings) check() []problem {
	c := &checker{}
	if s.Node.DataCentre == "" {
		c.add("node.data_centre", "is required")
	}
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.metrics", s.Listen.Metrics)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.peers_advertised", s.Listen.PeersAdvertised)
	s.TLS.check(c)
	s.Platform.check(c)
	for i, token := range s.Operators {
		token.check(c, fmt.Sprintf("operators[%d]", i))
	}
	s.Dispatch.check(c)
	if s.Limits.BodyBytes <= 0 {
		c.add("limits.body_bytes", "must be above 0")
	}
	if s.Limits.OpenRequests <= 0 {
		c.add("limits.open_requests", "must be above 0")
	}
	c.positive("limits.header_timeout", s.Limits.HeaderTimeout)
	c.positive("limits.body_timeout", s.Limits.BodyTimeout)
	c.notNegative("stop.readiness_delay", s.Stop.ReadinessDelay)
	c.notNegative("stop.timeout", s.Stop.Timeout)
	c.positive("claims.retention", s.Claims.Retention)
	c.positive("claims.timeout", s.Claims.Timeout)
	if s.Claims.WritesPerSecond <= 0 {
		c.add("claims.writes_per_second", "must be above 0")
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json", "console")
	return c.problems
}

func (t TLS) check(c *checker) {
	t.Callers.check(c, "tls.callers")
	t.Operators.check(c, "tls.operators")
	t.Peers.check(c, "tls.peers")
	t.Endpoints.check(c, "tls.endpoints")
	t.Platform.check(c, "tls.platform")
}

func (f TLSFiles) check(c *checker, key string) {
	if (f.Certificate == "") != (f.Key == "") {
		c.add(key, "certificate and key go together")
	}
}

func (p Platform) check(c *checker) {
	kv := p.KeyValue
	c.oneOf("platform.key_value.kind", kv.Kind, KeyValueEtcd, KeyValueMemory, KeyValueFile)
	c.positive("platform.key_value.timeout", kv.Timeout)
	if kv.Kind == KeyValueEtcd && len(kv.Addresses) == 0 {
		c.add("platform.key_value.addresses", "needs at least one address")
	}
	for i, address := range kv.Addresses {
		c.address(fmt.Sprintf("platform.key_value.addresses[%d]", i), address)
	}
	if kv.Kind == KeyValueFile && kv.Path == "" {
		c.add("platform.key_value.path", "is required for the kind file")
	}
	list := p.HostList
	c.oneOf("platform.host_list.kind", list.Kind, HostListHTTP, HostListFile)
	c.positive("platform.host_list.interval", list.Interval)
	if list.Kind == HostListHTTP && list.URL == "" {
		c.add("platform.host_list.url", "is required for the kind http")
	}
	if list.Kind == HostListFile && list.Path == "" {
		c.add("platform.host_list.path", "is required for the kind file")
	}
}

func (t OperatorToken) check(c *checker, key string) {
	if t.Name == "" {
		c.add(key+".name", "is required")
	}
	c.oneOf(key+".role", t.Role, RoleViewer, RoleOperator)
	if sum, err := hex.DecodeString(t.Hash); err != nil || len(sum) != 32 {
		c.add(key+".hash", "is not a SHA-256 in hexadecimal")
	}
}

func (d Dispatch) check(c *checker) {
	c.oneOf("dispatch.policy", d.Policy, PolicyAzuredyke, PolicyLeastOutstanding, PolicyRoundRobin)
	c.positive("dispatch.start_within", d.StartWithin)
	c.positive("dispatch.lease_ttl", d.LeaseTTL)
	c.positive("dispatch.load_interval", d.LoadInterval)
	c.positive("dispatch.load_timeout", d.LoadTimeout)
	c.positive("dispatch.suspect_after", d.SuspectAfter)
	c.positive("dispatch.stall_after", d.StallAfter)
	c.positive("dispatch.connect_timeout", d.ConnectTimeout)
	if d.RenewInterval <= 0 || d.RenewInterval > d.LeaseTTL/3 {
		c.add("dispatch.renew_interval", "must be above 0 and at most a third of dispatch.lease_ttl")
	}
	if d.MaxQueuePerCell <= 0 {
		c.add("dispatch.max_queue_per_cell", "must be above 0")
	}
	if d.EndpointFailures <= 0 {
		c.add("dispatch.endpoint_failures", "must be above 0")
	}
}
