package harness

import (
	"strings"

	"azuredyke.dev/azuredyke/fake/kvserver"
)

// KeyValue is the fake key-value service, which nodes reach through a link.
type KeyValue struct {
	*kvserver.Server
	Link *Link
}

// OwnerOf returns the node that owns the first resource with the given prefix, according to the ownership records in the
// key-value service. It fails the test if no node does.
func (s *Site) OwnerOf(prefix string) *Node {
	s.t.Helper()
	for _, e := range s.KV.Entries("own/" + prefix) {
		for _, n := range s.Nodes {
			if strings.Contains(string(e.Value), `"`+n.Settings.Node.ID+`"`) {
				return n
			}
		}
	}
	s.t.Fatalf("no node owns %s", prefix)
	return nil
}
