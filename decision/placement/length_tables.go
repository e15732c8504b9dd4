package placement

// maxWorkspaces bounds the tables of one service; further workspaces share the table of the service. It is above the
// 1,500 workspaces of the size to design for.
const maxWorkspaces = 2048

// LengthTables holds the output lengths of a service, by workspace.
type LengthTables struct {
	service     *LengthTable
	byWorkspace map[string]*LengthTable
}

// NewLengthTables returns tables that have learned nothing.
func NewLengthTables() *LengthTables {
	return &LengthTables{service: NewLengthTable(nil), byWorkspace: map[string]*LengthTable{}}
}

// Of returns the table of a workspace.
func (t *LengthTables) Of(workspace string) *LengthTable {
	table, ok := t.byWorkspace[workspace]
	if ok {
		return table
	}
	if len(t.byWorkspace) >= maxWorkspaces {
		return t.service
	}
	table = NewLengthTable(t.service)
	t.byWorkspace[workspace] = table
	return table
}

// Grew learns that a running answer of a workspace grew.
func (t *LengthTables) Grew(workspace string, from, to int) {
	if table := t.Of(workspace); table != t.service {
		table.Grew(from, to)
	}
	t.service.Grew(from, to)
}

// Ended learns that an answer of a workspace ended by itself.
func (t *LengthTables) Ended(workspace string, tokens int) {
	if table := t.Of(workspace); table != t.service {
		table.Ended(tokens)
	}
	t.service.Ended(tokens)
}
