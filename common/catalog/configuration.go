package catalog

import (
	"slices"
	"strings"
)

// Configuration is one version of the operators' configuration. It is immutable after Index.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   CallerLimits
	// Keys maps API keys to the workspaces that own them.
	Keys map[string]*Workspace
	// NeedsNoKeys is set if the operators use no API keys at all. Otherwise a request whose key is not in Keys is refused, also if
	// Keys is empty.
	NeedsNoKeys bool

	byHost map[string][]*Route
}

// Index builds the lookup table of routes. It must be called once before Route.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.PathPrefix == "" {
			// An empty prefix would match every path.
			continue
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
}

// Workspace returns the workspace that owns an API key. The second result is false if a request with the key must be refused; an
// empty key stands for a request without one.
func (c *Configuration) Workspace(key string) (*Workspace, bool) {
	if c.NeedsNoKeys {
		return nil, true
	}
	w := c.Keys[key]
	return w, w != nil && key != ""
}

// Route returns the route of the host with the longest prefix of path, or nil if no route matches.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}
