package ownership

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/decision/config"
)

// Guards against cells of a removed service that keep their owner, and against the release of other resources with them.
func TestCellsOfRemovedServiceAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, nil)
		n := s.nodes[0]
		dataCentre := &config.Object{
			Ref: config.Ref{Kind: config.KindDataCentre, Name: "howrah"}, DataCentre: &config.DataCentre{},
		}
		service := &config.Object{
			Ref: config.Ref{Kind: config.KindService, Name: "notes"}, Service: &config.Service{Cells: 2},
		}
		n.config.Publish(config.NewSnapshot(1, []*config.Object{dataCentre, service}))
		assert.NilError(t, s.checkFor(settleTime))
		assert.Equal(t, n.confirmed(), requiredResources+2)
		n.config.Publish(config.NewSnapshot(2, []*config.Object{dataCentre}))
		assert.NilError(t, s.checkFor(settleTime))
		assert.Equal(t, n.confirmed(), requiredResources)
		owners, err := s.kv.Range(t.Context(), ownersPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(owners.Entries), requiredResources)
	})
}
