package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against documents that are wrong but pass, and so would be sent as something that the operator did not mean.
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

// Guards against documents that crash the parser, and against accepted documents that change when shown and read again.
// A normal test run executes the committed corpus.
func FuzzParseItems(f *testing.F) {
	f.Add([]byte(twoDocuments))
	f.Add([]byte("kind: workspace\nname: w\nrevision: 4\nspec: {weight: 1.5, key_hashes: []}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		items, err := parseItems(data, nil)
		if err != nil {
			return
		}
		for _, item := range items {
			again, err := documentToObject(*objectToDocument(item.object))
			if err != nil {
				// Text that is not valid UTF-8 or a number that JSON cannot hold is refused when it is sent.
				continue
			}
			assert.Assert(t, sameSpec(item.object, again), "%s", strings.ToValidUTF8(string(data), "?"))
		}
	})
}
