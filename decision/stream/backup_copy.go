package stream

import "time"

// backupCopyTime is the time from the first event of a run until its backup certainly holds a copy of its memory, if it has room for it.
// Engines send the memory to the backup several times a second, so at least every half second.
const backupCopyTime = 500 * time.Millisecond

// BackupCopy tells whether the backup of a run is expected to hold a copy of the run's memory. The engine sends the memory as it grows
// and confirms nothing, so only the events of the run show that there is something to send. The zero value is a run without an event.
type BackupCopy struct {
	firstEvent time.Time
}

// RecordEvent records that an event of the run arrived.
func (c *BackupCopy) RecordEvent(now time.Time) {
	if c.firstEvent.IsZero() {
		c.firstEvent = now
	}
}

// IsExpected reports whether the backup has had the time to receive a copy.
func (c *BackupCopy) IsExpected(now time.Time) bool {
	return !c.firstEvent.IsZero() && now.Sub(c.firstEvent) >= backupCopyTime
}
