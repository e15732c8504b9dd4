package main

import (
	"strings"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// objectKind is one kind of configuration object as the command line knows it.
type objectKind struct {
	// noun is the name of the command.
	noun    string
	aliases []string
	// field is the kind in documents: the name of the field of Object that holds the spec.
	field string
	proto operatorv1.Kind
	title string
}

// objectKinds lists all kinds.
var objectKinds = []*objectKind{
	{noun: "service", aliases: []string{"services"}, field: "service", proto: operatorv1.Kind_KIND_SERVICE, title: "services"},
	{
		noun: "datacentre", aliases: []string{"datacentres", "data-centre"}, field: "data_centre",
		proto: operatorv1.Kind_KIND_DATA_CENTRE, title: "data centres",
	},
	{noun: "workspace", aliases: []string{"workspaces"}, field: "workspace", proto: operatorv1.Kind_KIND_WORKSPACE, title: "workspaces"},
	{
		noun: "placement-rule", aliases: []string{"placement-rules", "rule"}, field: "placement_rule",
		proto: operatorv1.Kind_KIND_PLACEMENT_RULE, title: "placement rules",
	},
	{noun: "model", aliases: []string{"models"}, field: "model", proto: operatorv1.Kind_KIND_MODEL, title: "models"},
}

// kindByName finds a kind by the name in documents, its command or an alias.
func kindByName(name string) (*objectKind, bool) {
	name = strings.ToLower(name)
	for _, k := range objectKinds {
		if name == k.field || name == k.noun {
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

// kindByProto finds a kind by its number; unknown numbers give nil.
func kindByProto(p operatorv1.Kind) *objectKind {
	for _, k := range objectKinds {
		if k.proto == p {
			return k
		}
	}
	return nil
}

// kindNames lists the kinds as documents name them.
func kindNames() []string {
	names := make([]string, 0, len(objectKinds))
	for _, k := range objectKinds {
		names = append(names, k.field)
	}
	return names
}
