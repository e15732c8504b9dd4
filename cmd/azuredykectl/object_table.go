package main

import (
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// maxCell is the longest text in a table of objects, in bytes; the other formats show everything.
const maxCell = 40

// objectTable shows objects of one kind, with a column for each field of the spec.
func objectTable(kind *objectKind, documents []*document) table {
	fields := specFields(kind)
	t := table{header: []string{"NAME", "REVISION"}}
	for _, field := range fields {
		t.header = append(t.header, strings.ToUpper(field))
	}
	for _, d := range documents {
		row := []string{d.Name, strconv.FormatInt(*d.Revision, 10)}
		for _, field := range fields {
			row = append(row, cellText(d.Spec[field]))
		}
		t.rows = append(t.rows, row)
	}
	return t
}

// specFields lists the fields of the spec of a kind in the order of the .proto file.
func specFields(kind *objectKind) []string {
	object := (&operatorv1.Object{}).ProtoReflect().Descriptor()
	spec := object.Fields().ByName(protoreflect.Name(kind.field)).Message().Fields()
	names := make([]string, 0, spec.Len())
	for i := range spec.Len() {
		names = append(names, string(spec.Get(i).Name()))
	}
	return names
}

// cellText shows a value in one short cell.
func cellText(value any) string {
	text := fullText(value)
	if len(text) > maxCell {
		return strings.ToValidUTF8(text[:maxCell-3], "") + "..."
	}
	return text
}

// fullText shows a value in one line.
func fullText(value any) string {
	switch v := value.(type) {
	case nil:
		return ""
	case []any:
		items := make([]string, 0, len(v))
		for _, item := range v {
			items = append(items, fullText(item))
		}
		return strings.Join(items, ",")
	default:
		return fmt.Sprint(v)
	}
}
