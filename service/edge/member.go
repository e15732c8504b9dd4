package edge

import "github.com/fxamacker/cbor/v2"

// memberPrefix is the key prefix of the nodes' entries in the store.
const memberPrefix = "azuredyke/nodes/"

// Member is a node's entry in the store.
type Member struct {
	ID string `cbor:"1,keyasint"`
	// Address is the host and port at which the node accepts connections from other nodes.
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	// Capacity is the processor capacity of the node in thousandths of a core; 0 if it is unknown. The largest nodes of a data
	// centre become its relays.
	Capacity int `cbor:"4,keyasint,omitempty"`
}

func (m Member) encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		// Encoding a struct of strings cannot fail.
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
		return Member{}, Error.New("node entry lacks an id or an address")
	}
	m.Capacity = max(0, m.Capacity)
	return m, nil
}
