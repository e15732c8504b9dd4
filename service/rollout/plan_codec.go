package rollout

import (
	"github.com/fxamacker/cbor/v2"

	"azuredyke.dev/azuredyke/decision/rollout"
)

// EncodePlan returns the stored form of a plan.
func EncodePlan(p *rollout.Plan) []byte {
	data, err := cbor.Marshal(p)
	if err != nil {
		// Encoding a struct of strings and numbers cannot fail.
		panic(err)
	}
	return data
}

// DecodePlan decodes the stored form of the plan of a service.
func DecodePlan(service string, data []byte) (*rollout.Plan, error) {
	p := &rollout.Plan{}
	if err := cbor.Unmarshal(data, p); err != nil {
		return nil, Error.Wrap(err)
	}
	if p.Order.Service != service || p.Order.Target == "" || p.Phase == rollout.NoPhase || p.Phase > rollout.Reverted {
		return nil, Error.New("plan of service %.100q is for service %.100q, target %.100q, phase %d", service, p.Order.Service, p.Order.Target, p.Phase)
	}
	return p, nil
}
