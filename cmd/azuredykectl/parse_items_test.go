package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against invalid documents that pass validation, so that the command sends a change the operator did not intend.
func TestParseItemsRefusesWrongDocuments(t *testing.T) {
	for name, text := range map[string]string{
		"empty":            "",
		"unknown key":      "kind: model\nname: m\nspecs: {}\n",
		"unknown kind":     "kind: cell\nname: m\nspec: {}\n",
		"no name":          "kind: model\nspec: {}\n",
		"unknown field":    "kind: model\nname: m\nspec: {versions: 1}\n",
		"wrong type":       "kind: service\nname: m\nspec: {cold_limit: many}\n",
		"out of range":     "kind: service\nname: m\nspec: {cold_limit: 3000000000}\n",
		"unknown enum":     "kind: data_centre\nname: m\nspec: {state: off}\n",
		"repeated key":     "kind: model\nname: m\nspec: {version: '1', version: '2'}\n",
		"negative":         "kind: model\nname: m\nrevision: -1\nspec: {}\n",
		"second document":  "kind: model\nname: m\nspec: {}\n---\nkind: none\nname: m\n",
		"not a mapping":    "- 1\n",
		"too many aliases": "kind: model\nname: m\nspec: &a {version: *a}\n",
	} {
		_, err := parseItems([]byte(text), nil)
		assert.Assert(t, errUsage.Has(err), "%s: %v", name, err)
	}
}

// Guards against input that crashes the parser, and against accepted documents that change when they are printed and
// parsed again. A normal test run executes the committed corpus only.
func FuzzParseItems(f *testing.F) {
	f.Add([]byte(twoDocuments))
	f.Add([]byte("kind: workspace\nname: w\nrevision: 4\nspec: {weight: 1.5, key_hashes: []}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		items, err := parseItems(data, nil)
		if err != nil {
			return
		}
		for _, item := range items {
			reparsed, err := documentToObject(*objectToDocument(item.object))
			if err != nil {
				// Invalid UTF-8 and numbers that JSON cannot represent are rejected when the request is encoded.
				continue
			}
			assert.Assert(t, equalExceptRevision(item.object, reparsed), "%s", strings.ToValidUTF8(string(data), "?"))
		}
	})
}
