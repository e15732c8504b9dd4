package rollout

import "azuredyke.dev/azuredyke/decision/rollout"

// RecordSend counts a request that was sent to an endpoint under an order.
func (m *Manager) RecordSend(service string, orderRevision int64, g rollout.Group, route string) {
	m.metrics.sends.Inc(1)
	m.offer(sendMessage{key: rolloutKey{service, orderRevision}, group: g, route: route})
}

// RecordSample counts the outcome of a request that was sent under an order.
func (m *Manager) RecordSample(service string, orderRevision int64, s rollout.Sample) {
	m.metrics.samples.Inc(1)
	m.offer(sampleMessage{key: rolloutKey{service, orderRevision}, sample: s})
}

// RecordFirstEvent counts the time to the first event of a request when the event arrives.
func (m *Manager) RecordFirstEvent(service string, orderRevision int64, s rollout.Sample) {
	m.offer(firstEventMessage{key: rolloutKey{service, orderRevision}, sample: s})
}

// RecordInterval counts the mean time between the events of a request that has not ended.
func (m *Manager) RecordInterval(service string, orderRevision int64, s rollout.Sample) {
	m.offer(intervalMessage{key: rolloutKey{service, orderRevision}, sample: s})
}

// RecordUnevaluated counts that a sent request has ended without a response for a reason unrelated to the version.
func (m *Manager) RecordUnevaluated(service string, orderRevision int64, g rollout.Group, route string) {
	m.offer(unevaluatedMessage{key: rolloutKey{service, orderRevision}, group: g, route: route})
}
