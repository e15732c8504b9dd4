package gateway

import (
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

const (
	headerLastEventID = "Last-Event-ID"
	// headerResumeWindow lets a caller come back: the number of seconds for which a stream goes on after its caller hung up.
	headerResumeWindow = "Azuredyke-Resume-Window"
	// maxResumeWindow bounds the resume window, since a detached generation takes an endpoint's memory.
	maxResumeWindow = time.Minute
)

// serveReattach goes on with a generation that the caller lost the connection to, here or at another node.
func (s *Server) serveReattach(w http.ResponseWriter, r *http.Request, workspace string) *verdict.Error {
	position, err := parseStreamPosition(r.Header.Get(headerLastEventID))
	if err != nil {
		return invalid(headerLastEventID, "%v", err)
	}
	if !position.belongsTo(workspace) {
		return verdict.New(verdict.NotRun, verdict.ReasonInvalid, "the event id belongs to another workspace").
			WithField(headerLastEventID)
	}
	endpoint, ok := s.endpointOf(position)
	if !ok {
		return verdict.New(verdict.Ran, verdict.ReasonIncomplete, "the endpoint of this generation is gone")
	}
	snapshot := s.Config.Load()
	session := &session{work: s.newWork(snapshot, workspace, endpoint.Service), window: resumeWindow(r)}
	session.verdict = verdict.Ran
	if verr := session.start(r.Context(), 0); verr != nil {
		return verr
	}
	grant, ok := s.Handover.TakeOver(r.Context(), func(id string) bool { return nameTag(id) == position.node },
		position.generation)
	if !ok {
		// The grant ended or its gateway died; the cell learns the end from the load report.
		grant = message.Grant{Endpoint: endpoint}
	}
	writer := newStreamWriter(w, true)
	session.writer = writer
	a := newAttempt(session, grant, time.Now(), 1)
	a.generation = position.generation
	a.next = position.number + 1
	writer.position = newStreamPosition(position.generation, workspace, endpoint.ID, s.options.NodeID).prefix()
	defer func() { session.end(background(r), a.assembler.Next()-a.next) }()
	if verr := a.reattach(r.Context(), background(r)); verr != nil {
		return session.fail(verr)
	}
	return nil
}

// endpointOf finds the endpoint of a position in the list of hosts.
func (s *Server) endpointOf(p streamPosition) (message.Endpoint, bool) {
	for _, h := range s.Hosts.Load() {
		if !h.Node && nameTag(h.ID) == p.endpoint {
			return message.Endpoint{ID: h.ID, Address: h.Address, Service: h.Service, DataCentre: h.DataCentre}, true
		}
	}
	return message.Endpoint{}, false
}

// resumeWindow returns how long the stream goes on after its caller hung up.
func resumeWindow(r *http.Request) time.Duration {
	window, err := time.ParseDuration(r.Header.Get(headerResumeWindow) + "s")
	if err != nil {
		return 0
	}
	return min(max(0, window), maxResumeWindow)
}
