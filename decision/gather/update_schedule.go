package gather

import (
	"maps"
	"slices"
	"time"

	"azuredyke.dev/azuredyke/decision/dispatch"
)

const (
	// urgentInterval is the time from the previous update to one with urgent changes. A prompt takes about 200 ms or more to
	// compute, and other nodes need its load well before it is finished.
	urgentInterval = 15 * time.Millisecond
	// changeInterval is the time from the previous update to one with changes that are not urgent.
	changeInterval = 50 * time.Millisecond
	// relayIdleInterval is the time from the previous update of a relay to one without changes, which shows that the relay is
	// alive. It is below RelaySilence.
	relayIdleInterval = 150 * time.Millisecond
	// reportIdleInterval is the same for the report of a node, which the relays expect within reportExpiry.
	reportIdleInterval = 500 * time.Millisecond
	// receiverSpacing is the minimum time between two updates for each of their receivers. It bounds the messages that a relay
	// sends in a second, whatever the number of its receivers.
	receiverSpacing = 500 * time.Microsecond
	// fullInterval is the time between two full updates of up to endpointsPerFullInterval endpoints, which correct the effect of
	// lost updates. With more endpoints it grows in proportion, up to maxFullInterval, to bound the bytes that a relay sends.
	// Meanwhile the load of an endpoint is corrected by its next change.
	fullInterval             = time.Second
	endpointsPerFullInterval = 256
	maxFullInterval          = 10 * time.Second
)

// updateSchedule records the changes since the last update and determines when the next update is due.
type updateSchedule struct {
	epoch, seq       uint64
	idleInterval     time.Duration
	changedEndpoints map[string]struct{}
	// receivers is the number of nodes to which each update is sent.
	receivers int
	// loadChanged is set when a change since the last update concerns more than the speed of an endpoint. A change of speed alone
	// goes with the next update, since the speed is a mean over seconds.
	loadChanged bool
	// urgent is set when a change since the last update is urgent.
	urgent bool
	sentAt time.Time
	fullAt time.Time
	// full is set when the next update must be full.
	full bool
	// updateRequested is set when an update is due although no load has changed.
	updateRequested bool
}

func newUpdateSchedule(epoch uint64, idleInterval time.Duration) updateSchedule {
	return updateSchedule{epoch: epoch, idleInterval: idleInterval, changedEndpoints: map[string]struct{}{}, full: true}
}

// recordChanges adds changes to the next update.
func (s *updateSchedule) recordChanges(changes []dispatch.Load) {
	for _, c := range changes {
		s.changedEndpoints[c.Endpoint] = struct{}{}
		s.loadChanged = s.loadChanged || !isSpeedOnly(c)
		s.urgent = s.urgent || isUrgent(c)
	}
}

// RequestFullUpdate makes the next update a full one, for receivers that have not received any update yet.
func (s *updateSchedule) RequestFullUpdate() { s.full = true }

// RequestUpdate makes the next update due as if a load had changed.
func (s *updateSchedule) RequestUpdate() { s.updateRequested = true }

// SetReceivers sets the number of nodes to which each update is sent.
func (s *updateSchedule) SetReceivers(n int) { s.receivers = n }

// Due returns the time at which the next update is to be sent.
func (s *updateSchedule) Due() time.Time {
	interval := s.idleInterval
	switch {
	case s.urgent:
		interval = urgentInterval
	case s.loadChanged || s.full || s.updateRequested:
		interval = changeInterval
	}
	return s.sentAt.Add(max(interval, time.Duration(s.receivers)*receiverSpacing))
}

// nextUpdate returns an update with the recorded changes and clears them. loadedEndpoints is the number of endpoints in a full
// update.
func (s *updateSchedule) nextUpdate(now time.Time, loadedEndpoints int) pendingUpdate {
	s.seq++
	interval := min(maxFullInterval, fullInterval*time.Duration(max(1, loadedEndpoints))/endpointsPerFullInterval)
	full := s.full || now.Sub(s.fullAt) >= max(fullInterval, interval)
	u := pendingUpdate{epoch: s.epoch, seq: s.seq, full: full, changedEndpoints: slices.Sorted(maps.Keys(s.changedEndpoints))}
	if full {
		s.fullAt = now
	}
	clear(s.changedEndpoints)
	s.loadChanged, s.urgent, s.full, s.updateRequested, s.sentAt = false, false, false, false, now
	return u
}
