package main

import (
	"encoding/json"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// documentToObject translates a document to the message of the API. Unknown fields are errors.
func documentToObject(d document) (*operatorv1.Object, error) {
	kind, ok := kindByName(d.Kind)
	if !ok {
		return nil, errUsage.New("kind %q must be one of %s", d.Kind, strings.Join(kindNames(), ", "))
	}
	if d.Name == "" {
		return nil, errUsage.New("a %s has no name", kind.field)
	}
	object := &operatorv1.Object{Name: d.Name}
	field := object.ProtoReflect().Descriptor().Fields().ByName(protoreflect.Name(kind.field))
	spec := object.ProtoReflect().Mutable(field).Message()
	expanded := make(map[string]any, len(d.Spec))
	for name, value := range d.Spec {
		fieldOfName := spec.Descriptor().Fields().ByName(protoreflect.Name(name))
		expanded[name] = expandList(fieldOfName, expandEnum(fieldOfName, value))
	}
	text, err := json.Marshal(expanded)
	if err != nil {
		return nil, errUsage.New("%s %s: %w", kind.field, d.Name, err)
	}
	if err := protojson.Unmarshal(text, spec.Interface()); err != nil {
		return nil, errUsage.New("%s %s: %w", kind.field, d.Name, err)
	}
	return object, nil
}

// expandList accepts a single value for a list, such as one key hash.
func expandList(field protoreflect.FieldDescriptor, value any) any {
	if field == nil || !field.IsList() {
		return value
	}
	if _, list := value.([]any); list || value == nil {
		return value
	}
	return []any{value}
}

// expandEnum accepts the short names of enum values, such as "model" for SERVICE_TYPE_MODEL.
func expandEnum(field protoreflect.FieldDescriptor, value any) any {
	text, ok := value.(string)
	if !ok || field == nil || field.Kind() != protoreflect.EnumKind {
		return value
	}
	long := enumPrefix(field.Enum()) + strings.ToUpper(text)
	if field.Enum().Values().ByName(protoreflect.Name(long)) != nil {
		return long
	}
	return value
}

// objectToDocument translates a message of the API to a document; nil gives nil.
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
