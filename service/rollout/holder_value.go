package rollout

import (
	"math/rand/v2"

	"github.com/fxamacker/cbor/v2"
)

// holderValue is the value of the decider's key.
type holderValue struct {
	Node string `cbor:"1,keyasint"`
	// Epoch identifies the process, so that a restarted one does not take the key of its predecessor for its own.
	Epoch uint64 `cbor:"2,keyasint"`
}

func newHolderValue(node string) []byte {
	data, err := cbor.Marshal(holderValue{Node: node, Epoch: rand.Uint64()})
	if err != nil {
		// Encoding a struct of a string and a number cannot fail.
		panic(err)
	}
	return data
}

// DecodeHolder returns the node in the value of the decider's key.
func DecodeHolder(data []byte) (string, error) {
	var v holderValue
	if err := cbor.Unmarshal(data, &v); err != nil {
		return "", Error.Wrap(err)
	}
	return v.Node, nil
}
