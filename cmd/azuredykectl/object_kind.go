package main

import (
	"strings"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// objectKind describes one kind of configuration object.
type objectKind struct {
	command string
	aliases []string
	// fieldName is the field of the Object message that holds the spec. Documents use it as the name of the kind.
	fieldName string
	proto     operatorv1.Kind
	// plural is the plural noun in help texts.
	plural string
}

var objectKinds = []*objectKind{
	{command: "service", aliases: []string{"services"}, fieldName: "service", proto: operatorv1.Kind_KIND_SERVICE, plural: "services"},
	{
		command: "datacentre", aliases: []string{"datacentres", "data-centre"}, fieldName: "data_centre",
		proto: operatorv1.Kind_KIND_DATA_CENTRE, plural: "data centres",
	},
	{command: "workspace", aliases: []string{"workspaces"}, fieldName: "workspace", proto: operatorv1.Kind_KIND_WORKSPACE, plural: "workspaces"},
	{
		command: "placement-rule", aliases: []string{"placement-rules", "rule"}, fieldName: "placement_rule",
		proto: operatorv1.Kind_KIND_PLACEMENT_RULE, plural: "placement rules",
	},
	{command: "model", aliases: []string{"models"}, fieldName: "model", proto: operatorv1.Kind_KIND_MODEL, plural: "models"},
}

// kindByName returns the kind whose document name, command name or alias is name, ignoring case.
func kindByName(name string) (*objectKind, bool) {
	name = strings.ToLower(name)
	for _, k := range objectKinds {
		if name == k.fieldName || name == k.command {
			return k, true
		}
		for _, alias := range k.aliases {
			if name == alias {
				return k, true
			}
		}
	}
	return nil, false
}

// kindByProto returns the kind with a protobuf enum value, or nil for an unknown value.
func kindByProto(p operatorv1.Kind) *objectKind {
	for _, k := range objectKinds {
		if k.proto == p {
			return k
		}
	}
	return nil
}

// kindNames returns the names of all kinds in documents.
func kindNames() []string {
	names := make([]string, 0, len(objectKinds))
	for _, k := range objectKinds {
		names = append(names, k.fieldName)
	}
	return names
}
