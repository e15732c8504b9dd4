package main

// parseItems parses and validates the documents of a file. If allowed is not nil, documents of other kinds are errors.
func parseItems(data []byte, allowed *objectKind) ([]applyItem, error) {
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
		if allowed != nil && kind != allowed {
			return nil, errUsage.New("document %d has kind %s, want %s", i+1, kind.fieldName, allowed.fieldName)
		}
		items = append(items, applyItem{kind: kind, object: object, expectedRevision: d.Revision})
	}
	return items, nil
}
