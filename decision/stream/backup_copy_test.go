package stream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a run that continues at its backup before the engine had anything to send there or the time to send it.
func TestBackupCopyIsExpectedSomeTimeAfterTheFirstEvent(t *testing.T) {
	start := time.Unix(0, 0)
	var c BackupCopy
	assert.Assert(t, !c.IsExpected(start.Add(time.Hour)))
	c.RecordEvent(start)
	c.RecordEvent(start.Add(backupCopyTime))
	assert.Assert(t, !c.IsExpected(start.Add(backupCopyTime-time.Millisecond)))
	assert.Assert(t, c.IsExpected(start.Add(backupCopyTime)))
}
