package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"azuredyke.dev/azuredyke/backing"
	"azuredyke.dev/azuredyke/common/explanation"
	"azuredyke.dev/azuredyke/common/mailbox"
	"azuredyke.dev/azuredyke/common/verdict"
	"azuredyke.dev/azuredyke/decision/dispatch"
)

// explainTimeout bounds the wait for the dispatcher, which answers within milliseconds unless its queue is full.
const explainTimeout = 2 * time.Second

const explainNote = "the choice draws a random sample of the usable endpoints; a request may go to another one of them"

// explainer is the HTTP handler that says where a request would go.
type explainer struct {
	server *Server
	// busy holds one element while a request is handled. Each copies the endpoints of a service, so that several at a time could
	// exceed the node's memory.
	busy chan struct{}
}

func newExplainer(s *Server) *explainer { return &explainer{server: s, busy: make(chan struct{}, 1)} }

// ServeHTTP implements http.Handler.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case e.busy <- struct{}{}:
		defer func() { <-e.busy }()
	default:
		http.Error(w, "the node is explaining another request", http.StatusServiceUnavailable)
		return
	}
	answer, failure := e.explain(r)
	if failure != nil {
		http.Error(w, failure.message, failure.status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (e *explainer) explain(r *http.Request) (*explanation.Answer, *explainError) {
	query, failure := newExplainQuery(r.URL.Query())
	if failure != nil {
		return nil, failure
	}
	s, failure := query.session(e.server)
	if failure != nil {
		return nil, failure
	}
	held := query.held(s)
	ctx, cancel := context.WithTimeout(r.Context(), explainTimeout)
	defer cancel()
	snapshot, err := mailbox.Call(ctx, e.server.placer.messages, func(reply chan<- *dispatch.Queue) dispatcherMessage {
		return explainMessage{service: s.service, reply: reply}
	})
	if err != nil {
		return nil, newExplainError(http.StatusGatewayTimeout, "the dispatcher did not answer within %v", explainTimeout)
	}
	x := snapshot.Explain(time.Now(), held, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	age := e.server.stateAge()
	answer := newExplainAnswer(s, &x)
	answer.Priority, answer.ConfirmedAgeMS = held.Priority, age.Milliseconds()
	if !s.cluster.Fleet.Configuration.NeedsNoKeys && !s.route.Public && age > e.server.revokeBound()-revokeMargin {
		answer.Outcome, answer.Chosen, answer.Reason = explanation.OutcomeRefused, "", string(verdict.ReasonStale)
	}
	return answer, nil
}

// newExplainAnswer encodes an explanation.
func newExplainAnswer(s *session, x *dispatch.Explanation) *explanation.Answer {
	a := &explanation.Answer{
		Route: s.route.Name, Service: s.service, ConfigurationVersion: s.cluster.Fleet.Configuration.Version, Revision: backing.RevisionNumber(s.cluster.Revision),
		Nodes: x.Nodes, OrderedAdmission: x.OrderedAdmission, EndpointSpeed: x.BySpeed, Waiting: x.Waiting,
		Endpoints: []explanation.Endpoint{}, Outcome: explanation.OutcomeSent, Chosen: x.Chosen, Reason: string(x.Refusal), Note: explainNote,
	}
	if x.LoadKnown {
		age := x.LoadAge.Milliseconds()
		a.OthersLoadAgeMS = &age
	}
	switch {
	case x.Waits:
		a.Outcome = explanation.OutcomeWaits
	case x.Refusal != "":
		a.Outcome = explanation.OutcomeRefused
	}
	for i := range x.Endpoints {
		e := &x.Endpoints[i]
		encoded := explanation.Endpoint{
			ID: e.Endpoint.ID, DataCentre: e.Endpoint.DataCentre, Version: e.Endpoint.Version, Usable: e.Obstacle == "",
			Reason: string(e.Obstacle), LeftMS: e.Left.Milliseconds(), InFlight: e.InFlight, Limit: e.Limit,
			MemoryTokens: int(e.Memory), MemoryLimit: int(e.Capacity), PromptTokens: e.Prefill, Slowdown: e.Slowdown,
			Scores: map[string]float64{}, Score: e.Score(),
		}
		for _, r := range e.Ratings {
			encoded.Scores[r.Scorer] = r.Score
		}
		a.Endpoints = append(a.Endpoints, encoded)
	}
	return a
}
