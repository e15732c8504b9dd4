package gather

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two relays that send every update twice, and against nodes that get none after the primary relay has failed.
func TestSecondRelayServesWhilePrimaryIsSilent(t *testing.T) {
	d := NewRelayDuty()
	d.SetRank(1)
	d.RecordPrimaryUpdate(start)
	assert.Assert(t, d.IsIdle(start))
	silent := d.PrimarySilentAt()
	assert.Assert(t, d.IsIdle(silent.Add(-time.Millisecond)))
	assert.Assert(t, d.ServesAll(silent) && d.Serves(silent, "n") && !d.IsIdle(silent))
	d.RecordPrimaryUpdate(silent)
	assert.Assert(t, d.IsIdle(silent))
	d.SetRank(0)
	assert.Assert(t, d.ServesAll(silent.Add(time.Hour)))
	d.SetRank(-1)
	assert.Assert(t, d.IsIdle(silent.Add(time.Hour)) && d.IsUnserved(silent.Add(time.Hour)))
}

// Guards against a node that gets no updates because only its own link to the primary relay has failed.
func TestSecondRelayServesNodesThatLostThePrimary(t *testing.T) {
	d := NewRelayDuty()
	d.SetRank(1)
	d.RecordPrimaryUpdate(start)
	assert.Assert(t, d.RecordReport(start, "n", true))
	assert.Assert(t, !d.RecordReport(start, "n", true))
	assert.Assert(t, d.Serves(start, "n") && !d.Serves(start, "m") && !d.ServesAll(start) && !d.IsIdle(start))
	d.RecordReport(start, "n", false)
	assert.Assert(t, d.IsIdle(start))
	assert.Assert(t, d.RecordReport(start, "n", true))
	later := start.Add(reportExpiry + time.Second)
	d.RecordPrimaryUpdate(later)
	d.Expire(later)
	assert.Assert(t, d.IsIdle(later))
}
