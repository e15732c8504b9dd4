package gateway

import "bytes"

// usageMarker and emptyChoices identify the usage part of a stream, which has no choices.
var (
	usageMarker  = []byte(`"usage":{`)
	emptyChoices = []byte(`"choices":[]`)
)

// isUsageOnly reports whether a part carries only the usage. A usage part in another notation is not recognised and reaches
// the caller, who must accept such a part anyway.
func isUsageOnly(data []byte) bool {
	return bytes.Contains(data, emptyChoices) && bytes.Contains(data, usageMarker)
}
