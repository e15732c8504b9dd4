package main

// parseItems translates the documents of a file.
func parseItems(data []byte, only *objectKind) ([]applyItem, error) {
	documents, err := parseDocuments(data)
	if err != nil {
		return nil, err
	}
	if len(documents) == 0 {
		return nil, errUsage.New("the file holds no document")
	}
	items := make([]applyItem, 0, len(documents))
	for i, d := range documents {
		object, err := documentToObject(d)
		if err != nil {
			return nil, errUsage.New("document %d: %w", i+1, err)
		}
		kind, _ := kindByName(d.Kind)
		if only != nil && kind != only {
			return nil, errUsage.New("document %d is of kind %s rather than %s", i+1, kind.field, only.field)
		}
		items = append(items, applyItem{kind: kind, object: object, expected: d.Revision})
	}
	return items, nil
}
