package configuration

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/config"
)

// Guards against using a reply that is older, has a delta for another revision, or contains an object without a spec.
func TestPullReplySnapshot(t *testing.T) {
	complete := &config.Object{Ref: west, Revision: 6, DataCentre: &config.DataCentre{}}
	withoutSpec := &config.Object{Ref: west, Revision: 6}
	inForce := config.NewSnapshot(5, nil)
	for name, c := range map[string]struct {
		reply PullReply
		used  bool
	}{
		"whole":                     {PullReply{Revision: 6, Whole: true, Objects: []*config.Object{complete}}, true},
		"difference":                {PullReply{Revision: 6, Delta: &config.Delta{From: 5, To: 6, Changed: []*config.Object{complete}}}, true},
		"older":                     {PullReply{Revision: 4, Whole: true}, false},
		"same":                      {PullReply{Revision: 5, Whole: true}, false},
		"nothing":                   {PullReply{Revision: 6}, false},
		"delta from other revision": {PullReply{Revision: 6, Delta: &config.Delta{From: 4, To: 6}}, false},
		"delta to other revision":   {PullReply{Revision: 7, Delta: &config.Delta{From: 5, To: 6}}, false},
		"whole without spec":        {PullReply{Revision: 6, Whole: true, Objects: []*config.Object{withoutSpec}}, false},
		"whole with nil object":     {PullReply{Revision: 6, Whole: true, Objects: []*config.Object{nil}}, false},
		"delta without spec":        {PullReply{Revision: 6, Delta: &config.Delta{From: 5, To: 6, Changed: []*config.Object{withoutSpec}}}, false},
	} {
		s := c.reply.snapshot(inForce)
		assert.Equal(t, s != nil, c.used, name)
	}
}
