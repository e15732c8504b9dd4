package peer

import "github.com/fxamacker/cbor/v2"

// Bounds of a decoded value, so that a small frame cannot cause a large allocation.
const (
	maxNesting  = 16
	maxElements = 1 << 17
)

var (
	encMode = mustEncMode(cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden})
	decMode = mustDecMode(cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
	})
)

func mustEncMode(o cbor.EncOptions) cbor.EncMode {
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	m, err := o.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}
