package main

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// maxColumnBytes is the maximum length of a value in a table of objects; JSON and YAML output is not truncated.
const maxColumnBytes = 40

// objectTable returns a table of objects of one kind, with one column per field of the spec.
func objectTable(kind *objectKind, documents []*document) table {
	fields := specFields(kind)
	t := table{header: []string{"NAME", "REVISION"}}
	for _, field := range fields {
		t.header = append(t.header, strings.ToUpper(field))
	}
	for _, d := range documents {
		row := []string{d.Name, strconv.FormatInt(*d.Revision, 10)}
		for _, field := range fields {
			row = append(row, formatTruncated(d.Spec[field]))
		}
		t.rows = append(t.rows, row)
	}
	return t
}

// specFields returns the field names of the spec of a kind, in the order of the .proto file.
func specFields(kind *objectKind) []string {
	object := (&operatorv1.Object{}).ProtoReflect().Descriptor()
	spec := object.Fields().ByName(protoreflect.Name(kind.fieldName)).Message().Fields()
	names := make([]string, 0, spec.Len())
	for i := range spec.Len() {
		names = append(names, string(spec.Get(i).Name()))
	}
	return names
}

// formatTruncated formats a value and truncates it to maxColumnBytes.
func formatTruncated(value any) string {
	text := formatValue(value)
	if len(text) > maxColumnBytes {
		return strings.ToValidUTF8(text[:maxColumnBytes-3], "") + "..."
	}
	return text
}

// formatValue formats a value, with the items of a list separated by commas.
func formatValue(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		items := make([]string, 0, len(v))
		for _, item := range v {
			items = append(items, formatValue(item))
		}
		return strings.Join(items, ",")
	default:
		return fmt.Sprint(v)
	}
}
