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
	// Keys maps API keys to the workspaces that own them. It is nil when no request needs a key.
	Keys map[string]*Workspace

	byHost map[string][]*Route
}

// Index builds the lookup table of routes. It must be called once before Route.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
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
