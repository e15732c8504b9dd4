package overload

import "time"

const (
	// pressureInterval is the least time between two notices for each class in the first one, which bounds their bytes.
	pressureInterval = 50 * time.Millisecond
	// pressureSpacing is the least time between two notices for each of their receivers. It bounds the messages of a relay.
	pressureSpacing = 500 * time.Microsecond
	// usageInterval is the time between two reports of the usage of workspaces, which changes with whole runs.
	usageInterval = 250 * time.Millisecond
)

// PressureSchedule determines when a node or a relay sends its pressure: while something waits, and once when nothing waits any more.
type PressureSchedule struct {
	sentAt, usageAt time.Time
	// receivers is the number of nodes to which each notice is sent, classes that of the classes in the last one.
	receivers, classes int
	// requested is set when the pressure may have changed, reported when the last notice said that something waits.
	requested, reported bool
}

// SetReceivers sets the number of nodes to which each notice is sent.
func (s *PressureSchedule) SetReceivers(n int) { s.receivers = n }

// Request makes a notice due because the pressure may have changed.
func (s *PressureSchedule) Request() { s.requested = true }

// Due returns the time of the next notice; the second result is false if none is due.
func (s *PressureSchedule) Due() (time.Time, bool) {
	interval := max(pressureInterval*time.Duration(max(1, s.classes)), time.Duration(s.receivers)*pressureSpacing)
	return s.sentAt.Add(interval), s.requested || s.reported
}

// Next returns what the notice that is due says about the pressure p. The second result is false if there is nothing to say.
func (s *PressureSchedule) Next(now time.Time, p Pressure) (Pressure, bool) {
	wasReported := s.reported
	s.requested, s.reported, s.sentAt, s.classes = false, !p.IsZero(), now, len(p.Waiting)
	if now.Sub(s.usageAt) < usageInterval {
		p.Usage = nil
	} else {
		s.usageAt = now
	}
	return p.Limited(), wasReported || !p.IsZero() || len(p.Usage) > 0
}
