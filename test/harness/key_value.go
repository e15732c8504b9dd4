package harness

import (
	"strings"

	"azuredyke.dev/azuredyke/fake/kvserver"
)

// KeyValue is the key-value service behind a link.
type KeyValue struct {
	*kvserver.Server
	Link *Link
}

// OwnerOf returns the node that owns the first resource with the given prefix, by the record in the key-value service.
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
