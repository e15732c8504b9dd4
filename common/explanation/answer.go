// Package explanation holds the answer of a node to the question where a request would go.
package explanation

// Outcomes of a request.
const (
	OutcomeSent    = "sent"
	OutcomeWaits   = "waits"
	OutcomeRefused = "refused"
)

// Answer is the body of an answer to GET /explain. Times are in milliseconds.
type Answer struct {
	Route                string `json:"route"`
	Service              string `json:"service"`
	ConfigurationVersion int64  `json:"configuration_version"`
	Revision             int64  `json:"revision"`
	ConfirmedAgeMS       int64  `json:"confirmed_age_ms"`
	Nodes                int    `json:"nodes"`
	// OthersLoadAgeMS is absent if no load of other nodes was reported yet.
	OthersLoadAgeMS *int64 `json:"others_load_age_ms,omitempty"`
	Priority        int    `json:"priority"`
	// OrderedAdmission and EndpointSpeed report whether the features take part in the choice.
	OrderedAdmission bool       `json:"ordered_admission"`
	EndpointSpeed    bool       `json:"endpoint_speed"`
	Waiting          int        `json:"waiting"`
	Endpoints        []Endpoint `json:"endpoints"`
	Outcome          string     `json:"outcome"`
	// Chosen is the endpoint of a request that would be sent, Reason says why it would wait or be refused.
	Chosen string `json:"chosen,omitempty"`
	Reason string `json:"reason,omitempty"`
	Note   string `json:"note"`
}
