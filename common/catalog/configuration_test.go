package catalog

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against matching a request to a route with a shorter prefix or of another host.
func TestRoutePrefersLongestPrefixOfHost(t *testing.T) {
	c := &Configuration{Routes: []Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "A.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/"},
	}}
	c.Index()
	assert.Equal(t, c.Route("a.example", "/x/y/z").Name, "long")
	assert.Equal(t, c.Route("a.EXAMPLE", "/x/z").Name, "short")
	assert.Equal(t, c.Route("b.example", "/x/y/z").Name, "other")
	assert.Assert(t, c.Route("a.example", "/x") == nil)
	assert.Assert(t, c.Route("c.example", "/x/") == nil)
}

// Guards against a split that assigns requests to no service or to a service with weight 0.
func TestServiceFollowsTheWeights(t *testing.T) {
	r := Route{Shares: []Share{{"a", 9}, {"none", 0}, {"b", 1}}}
	counts := map[string]int{}
	for hash := range uint64(100) {
		counts[r.Service(hash)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"a": 90, "b": 10})
	assert.Equal(t, (&Route{}).Service(7), "")
}

// Guards against repeating a request whose route does not set Repeatability.
func TestOnlyRepeatableRequestsMayRepeat(t *testing.T) {
	assert.Assert(t, !(&Route{}).MayRepeat())
	assert.Assert(t, !(&Route{Streaming: true}).MayRepeat())
	assert.Assert(t, (&Route{Streaming: true, Resumable: true}).MayRepeat())
	assert.Assert(t, (&Route{Repeatability: Repeatable}).MayRepeat())
}
