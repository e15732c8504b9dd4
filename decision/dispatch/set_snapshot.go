package dispatch

import (
	"time"

	"azuredyke.dev/azuredyke/decision/fleet"
)

// SetSnapshot replaces the endpoints by those of a snapshot. An endpoint of the same incarnation keeps its state.
func (t *Table) SetSnapshot(now time.Time, s *fleet.Snapshot) {
	previous := t.endpoints
	t.ownLoadChanged = true
	t.endpoints = make(map[string]*endpoint, len(previous))
	t.services = map[string][]*endpoint{}
	if s.Configuration != nil {
		t.addEndpoints(now, s, previous)
	}
	t.forgetEnded()
	t.setRollouts(now, s)
	t.configured = t.configured || s.Configuration != nil
}

// addEndpoints adds the endpoints of a snapshot.
func (t *Table) addEndpoints(now time.Time, s *fleet.Snapshot, previous map[string]*endpoint) {
	for name, list := range s.Endpoints {
		service := s.Configuration.Services[name]
		if service == nil {
			continue
		}
		l := t.limitsOf(name, s.Configuration.Routes)
		for _, listed := range list {
			e := previous[listed.ID]
			known := e != nil && e.SameIncarnation(&listed.Endpoint)
			if !known {
				e = &endpoint{service: service, statement: t.statements.of(&listed.Endpoint), number: t.prompts.nextEngine()}
				t.setOthers(now, e, t.others[listed.ID])
			}
			wasOut, wasLeaving := e.dataCentreOut, e.isLeaving()
			e.Endpoint, e.service, e.dataCentreOut = listed, service, s.Out[listed.DataCentre]
			if listed.ColdUntil.Add(coldMargin).After(e.coldUntil) && listed.ColdFor > 0 {
				e.coldUntil = listed.ColdUntil.Add(coldMargin)
			}
			if wasOut && !e.dataCentreOut {
				// The endpoint may have restarted cold while its data centre was out, and its entry may not show that yet.
				e.coldUntil = now.Add(service.ColdStart + coldMargin)
			}
			if known && !wasLeaving && e.isLeaving() {
				t.recordDeparture(now, l, &listed.Endpoint, len(list))
			}
			t.endpoints[e.ID] = e
			t.services[name] = append(t.services[name], e)
		}
	}
}
