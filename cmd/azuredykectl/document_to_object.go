package main

import (
	"encoding/json"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// documentToObject converts a document to an API message. Unknown fields are errors.
func documentToObject(d document) (*operatorv1.Object, error) {
	kind, ok := kindByName(d.Kind)
	if !ok {
		return nil, errUsage.New("kind %q must be one of %s", d.Kind, strings.Join(kindNames(), ", "))
	}
	if d.Name == "" {
		return nil, errUsage.New("a document of kind %s has no name", kind.fieldName)
	}
	object := &operatorv1.Object{Name: d.Name}
	field := object.ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(kind.fieldName))
	spec := object.ProtoReflect().Mutable(field).Message()
	expanded := make(map[string]any, len(d.Spec))
	for name, value := range d.Spec {
		specField := spec.Descriptor().Fields().ByName(protoreflect.Name(name))
		expanded[name] = expandList(specField, expandEnum(specField, value))
	}
	encoded, err := json.Marshal(expanded)
	if err != nil {
		return nil, errUsage.New("%s %s: %w", kind.fieldName, d.Name, err)
	}
	if err := protojson.Unmarshal(encoded, spec.Interface()); err != nil {
		return nil, errUsage.New("%s %s: %w", kind.fieldName, d.Name, err)
	}
	return object, nil
}

// expandList converts a single value of a list field, such as one key hash, to a list of one element.
func expandList(field protoreflect.FieldDescriptor, value any) any {
	if field == nil || !field.IsList() {
		return value
	}
	if _, list := value.([]any); list || value == nil {
		return value
	}
	return []any{value}
}

// expandEnum converts the short name of an enum value to its full name, such as "model" to SERVICE_TYPE_MODEL.
func expandEnum(field protoreflect.FieldDescriptor, value any) any {
	text, ok := value.(string)
	if !ok || field == nil || field.Kind() != protoreflect.EnumKind {
		return value
	}
	fullName := enumPrefix(field.Enum()) + strings.ToUpper(text)
	if field.Enum().Values().ByName(protoreflect.Name(fullName)) != nil {
		return fullName
	}
	return value
}

// objectToDocument converts an API message to a document. A nil message gives a nil document.
func objectToDocument(o *operatorv1.Object) *document {
	if o == nil {
		return nil
	}
	revision := o.GetRevision()
	d := &document{Name: o.GetName(), Revision: &revision, Spec: map[string]any{}}
	m := o.ProtoReflect()
	if field := m.WhichOneof(m.Descriptor().Oneofs().ByName("spec")); field != nil {
		d.Kind, d.Spec = string(field.Name()), messageToMap(m.Get(field).Message())
	}
	return d
}
