package edge

import "github.com/fxamacker/cbor/v2"

// memberPrefix is below which each node keeps its entry in the store.
const memberPrefix = "azuredyke/nodes/"

// Member is a node's entry in the store.
type Member struct {
	ID string `cbor:"1,keyasint"`
	// Address is where the node accepts links.
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
}

func (m Member) encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		// Strings always encode.
		panic(err)
	}
	return data
}

func decodeMember(data []byte) (Member, error) {
	var m Member
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Member{}, Error.Wrap(err)
	}
	if m.ID == "" || m.Address == "" {
		return Member{}, Error.New("entry of a node without id or address")
	}
	return m, nil
}
