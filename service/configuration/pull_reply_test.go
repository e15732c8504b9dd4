package configuration

import (
	"testing"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/config"
)

// Guards against a peer's answer that brings the revision back, does not fit, or holds an object without a spec.
func TestPullReplySnapshot(t *testing.T) {
	good := &config.Object{Ref: west, Revision: 6, DataCentre: &config.DataCentre{}}
	hollow := &config.Object{Ref: west, Revision: 6}
	inForce := config.NewSnapshot(5, nil)
	for name, c := range map[string]struct {
		reply PullReply
		used  bool
	}{
		"whole":           {PullReply{Revision: 6, Whole: true, Objects: []*config.Object{good}}, true},
		"difference":      {PullReply{Revision: 6, Delta: &config.Delta{From: 5, To: 6, Changed: []*config.Object{good}}}, true},
		"older":           {PullReply{Revision: 4, Whole: true}, false},
		"same":            {PullReply{Revision: 5, Whole: true}, false},
		"nothing":         {PullReply{Revision: 6}, false},
		"other base":      {PullReply{Revision: 6, Delta: &config.Delta{From: 4, To: 6}}, false},
		"other end":       {PullReply{Revision: 7, Delta: &config.Delta{From: 5, To: 6}}, false},
		"hollow whole":    {PullReply{Revision: 6, Whole: true, Objects: []*config.Object{hollow}}, false},
		"nil whole":       {PullReply{Revision: 6, Whole: true, Objects: []*config.Object{nil}}, false},
		"hollow in delta": {PullReply{Revision: 6, Delta: &config.Delta{From: 5, To: 6, Changed: []*config.Object{hollow}}}, false},
	} {
		s := c.reply.snapshot(inForce)
		assert.Equal(t, s != nil, c.used, name)
	}
}
