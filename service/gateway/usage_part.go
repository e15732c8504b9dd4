package gateway

import "bytes"

// usageMarker and emptyChoices tell the usage part of a stream, which has no choices.
var (
	usageMarker  = []byte(`"usage":{`)
	emptyChoices = []byte(`"choices":[]`)
)

// isUsageOnly reports whether a part carries only the usage. A part that does not look so is passed on, which callers
// must accept anyway.
func isUsageOnly(data []byte) bool {
	return bytes.Contains(data, emptyChoices) && bytes.Contains(data, usageMarker)
}
