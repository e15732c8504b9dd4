package membership

import (
	"azuredyke.dev/azuredyke/common/message"
	"azuredyke.dev/azuredyke/decision/membership"
)

// wireMember is the encoded form of a membership.Member. The address is omitted if it equals the id.
type wireMember struct {
	ID          string           `cbor:"1,keyasint"`
	Address     string           `cbor:"2,keyasint,omitempty"`
	DataCentre  string           `cbor:"3,keyasint,omitempty"`
	Region      string           `cbor:"4,keyasint,omitempty"`
	Incarnation uint64           `cbor:"5,keyasint"`
	State       membership.State `cbor:"6,keyasint,omitempty"`
	Revision    int64            `cbor:"7,keyasint,omitempty"`
	Resources   []string         `cbor:"8,keyasint,omitempty"`
	// Fences has one element for each element of Resources.
	Fences []uint64 `cbor:"9,keyasint,omitempty"`
	Brief  bool     `cbor:"10,keyasint,omitempty"`
}

func toWireMembers(members []membership.Member) []wireMember {
	out := make([]wireMember, 0, len(members))
	for _, m := range members {
		w := wireMember{
			ID: m.ID, Address: m.Address, DataCentre: m.DataCentre, Region: m.Region, Incarnation: m.Incarnation,
			State: m.State, Revision: m.ConfigRevision, Brief: m.Brief,
		}
		if w.Address == w.ID {
			w.Address = ""
		}
		for _, h := range m.Holdings {
			w.Resources, w.Fences = append(w.Resources, h.Resource), append(w.Fences, h.Fence)
		}
		out = append(out, w)
	}
	return out
}

// fromWireMembers decodes records and skips invalid ones, which no correct sender creates.
func fromWireMembers(members []wireMember) []membership.Member {
	out := make([]membership.Member, 0, len(members))
	for _, w := range members {
		if w.ID == "" || w.State > membership.StateRemoved || len(w.Resources) != len(w.Fences) {
			continue
		}
		m := membership.Member{
			ID: w.ID, Address: w.Address, DataCentre: w.DataCentre, Region: w.Region, Incarnation: w.Incarnation,
			State: w.State, ConfigRevision: w.Revision, Brief: w.Brief,
		}
		if m.Address == "" {
			m.Address = m.ID
		}
		for i, resource := range w.Resources {
			m.Holdings = append(m.Holdings, message.Holding{
				Resource: resource, Node: m.ID, Address: m.Address, Fence: w.Fences[i],
			})
		}
		out = append(out, m)
	}
	return out
}
