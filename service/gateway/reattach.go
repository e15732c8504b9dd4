package gateway

import (
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/common/verdict"
)

const (
	// headerLastEventID carries the event id of the last part that a reattaching caller received.
	headerLastEventID = "Last-Event-ID"
	// headerResumeWindow is the time in seconds for which a stream goes on after its caller hung up, so that the caller can
	// reattach to it.
	headerResumeWindow = "Azuredyke-Resume-Window"
	// maxResumeWindow bounds the resume window, because a detached generation occupies memory of its endpoint.
	maxResumeWindow = time.Minute
)

// serveReattach relays the remaining parts of a generation to a caller who lost the connection to it at this or another node.
func (s *Server) serveReattach(w http.ResponseWriter, r *http.Request, workspace string) *verdict.Error {
	position, err := parseStreamPosition(r.Header.Get(headerLastEventID))
	if err != nil {
		return invalidRequest(headerLastEventID, "%v", err)
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
	session := &session{callerRequest: s.newCallerRequest(snapshot, workspace, endpoint.Service), resumeWindow: resumeWindow(r)}
	session.verdict = verdict.Ran
	if verr := session.admit(r.Context(), 0); verr != nil {
		return verr
	}
	grant, ok := s.Takeover.TakeOver(r.Context(), func(id string) bool { return nameTag(id) == position.nodeTag },
		position.generation)
	if !ok {
		// The grant has ended or its node does not answer. The cell detects the end of the generation by a load report.
		grant = message.Grant{Endpoint: endpoint}
	}
	writer := newStreamWriter(w, true)
	session.writer = writer
	a := newAttempt(session, grant, time.Now(), 1)
	a.generationID = position.generation
	a.firstPart = position.partNumber + 1
	writer.position = newStreamPosition(position.generation, workspace, endpoint.ID, s.options.NodeID).prefix()
	defer func() { session.release(detachedContext(r), a.assembler.Next()-a.firstPart) }()
	if verr := a.reattach(r.Context(), detachedContext(r)); verr != nil {
		return session.fail(verr)
	}
	return nil
}

// endpointOf returns the endpoint of a stream position from the list of hosts, and false when it is no longer listed.
func (s *Server) endpointOf(p streamPosition) (message.Endpoint, bool) {
	for _, h := range s.Hosts.Load() {
		if !h.Node && nameTag(h.ID) == p.endpointTag {
			return message.Endpoint{ID: h.ID, Address: h.Address, Service: h.Service, DataCentre: h.DataCentre}, true
		}
	}
	return message.Endpoint{}, false
}

// resumeWindow returns the resume window that the request asks for, limited to maxResumeWindow. It is 0 when the header is
// absent or invalid.
func resumeWindow(r *http.Request) time.Duration {
	window, err := time.ParseDuration(r.Header.Get(headerResumeWindow) + "s")
	if err != nil {
		return 0
	}
	return min(max(0, window), maxResumeWindow)
}
