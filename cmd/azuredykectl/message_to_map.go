package main

import (
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// messageToMap returns the fields of a message under their names in the .proto file, with enum values as short lower-case
// names. Unset fields with presence, such as messages, are omitted; other unset fields have their zero values.
func messageToMap(m protoreflect.Message) map[string]any {
	out := map[string]any{}
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if !m.Has(field) && (field.Message() != nil && !field.IsList() && !field.IsMap() || field.HasPresence()) {
			continue
		}
		out[string(field.Name())] = fieldToAny(field, m.Get(field))
	}
	return out
}

func fieldToAny(field protoreflect.FieldDescriptor, value protoreflect.Value) any {
	switch {
	case field.IsMap():
		entries := map[string]any{}
		value.Map().Range(func(key protoreflect.MapKey, v protoreflect.Value) bool {
			entries[key.String()] = scalarToAny(field.MapValue(), v)
			return true
		})
		return entries
	case field.IsList():
		items := make([]any, 0, value.List().Len())
		for i := range value.List().Len() {
			items = append(items, scalarToAny(field, value.List().Get(i)))
		}
		return items
	default:
		return scalarToAny(field, value)
	}
}

func scalarToAny(field protoreflect.FieldDescriptor, value protoreflect.Value) any {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return messageToMap(value.Message())
	case protoreflect.EnumKind:
		if v := field.Enum().Values().ByNumber(value.Enum()); v != nil {
			return strings.ToLower(strings.TrimPrefix(string(v.Name()), enumPrefix(field.Enum())))
		}
		return int32(value.Enum())
	default:
		return value.Interface()
	}
}

// enumPrefix returns the common prefix of the value names of an enum. The name of value 0 is the prefix followed by
// UNSPECIFIED.
func enumPrefix(enum protoreflect.EnumDescriptor) string {
	return strings.TrimSuffix(string(enum.Values().Get(0).Name()), "UNSPECIFIED")
}
