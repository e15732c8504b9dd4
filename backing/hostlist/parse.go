package hostlist

import (
	"encoding/json"
	"net/netip"

	"github.com/zeebo/errs"

	"azuredyke.dev/azuredyke/common/message"
)

// Error is the class of the errors of this package.
var Error = errs.Class("host list")

// Names and values of labels.
const (
	LabelJob        = "job"
	LabelService    = "service"
	LabelDataCentre = "datacentre"
	LabelRegion     = "region"
	LabelState      = "state"
	LabelID         = "id"

	JobNode      = "node"
	JobEndpoint  = "endpoint"
	StateLive    = "live"
	StateLeaving = "leaving"
)

// parse decodes a list. One invalid entry makes the whole list invalid. If invalid entries were skipped, a damaged list would
// be mistaken for a list without the hosts that have left.
func parse(data []byte) ([]message.Host, error) {
	var groups []TargetGroup
	if err := json.Unmarshal(data, &groups); err != nil {
		return nil, Error.New("not service-discovery JSON: %w", err)
	}
	var hosts []message.Host
	for _, g := range groups {
		for _, target := range g.Targets {
			h, err := hostOf(target, g.Labels)
			if err != nil {
				return nil, err
			}
			hosts = append(hosts, h)
		}
	}
	return hosts, nil
}

func hostOf(target string, labels map[string]string) (message.Host, error) {
	if _, err := netip.ParseAddrPort(target); err != nil {
		return message.Host{}, Error.New("target %q is not an IP address with a port", target)
	}
	h := message.Host{
		ID: target, Address: target, Service: labels[LabelService], DataCentre: labels[LabelDataCentre],
		Region: labels[LabelRegion], Leaving: labels[LabelState] == StateLeaving, Node: labels[LabelJob] == JobNode,
	}
	if id := labels[LabelID]; id != "" {
		h.ID = id
	}
	if !h.Node && h.Service == "" {
		return message.Host{}, Error.New("target %q has no label %q", target, LabelService)
	}
	if h.DataCentre == "" {
		return message.Host{}, Error.New("target %q has no label %q", target, LabelDataCentre)
	}
	return h, nil
}
