package main

import "google.golang.org/protobuf/proto"

// messagesToMaps converts messages to maps for JSON and YAML output.
func messagesToMaps[M proto.Message](messages []M) []map[string]any {
	out := make([]map[string]any, 0, len(messages))
	for _, m := range messages {
		out = append(out, messageToMap(m.ProtoReflect()))
	}
	return out
}
