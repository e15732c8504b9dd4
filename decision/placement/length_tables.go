package placement

// maxWorkspaces limits the number of workspaces of one service that have their own table; further workspaces share the table
// of the service. The design target is 1,500 workspaces.
const maxWorkspaces = 2048

// LengthTables holds the tables of output lengths of a service, by workspace.
type LengthTables struct {
	service     *LengthTable
	byWorkspace map[string]*LengthTable
}

// NewLengthTables returns empty tables.
func NewLengthTables() *LengthTables {
	return &LengthTables{service: NewLengthTable(nil), byWorkspace: map[string]*LengthTable{}}
}

// Of returns the table of a workspace, or that of the service if there are already maxWorkspaces tables.
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

// Grew records that a running answer of a workspace grew from one number of tokens to another.
func (t *LengthTables) Grew(workspace string, from, to int) {
	if table := t.Of(workspace); table != t.service {
		table.Grew(from, to)
	}
	t.service.Grew(from, to)
}

// Ended records that an answer of a workspace ended by itself after the given number of tokens.
func (t *LengthTables) Ended(workspace string, tokens int) {
	if table := t.Of(workspace); table != t.service {
		table.Ended(tokens)
	}
	t.service.Ended(tokens)
}
