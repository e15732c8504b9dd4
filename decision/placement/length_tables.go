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

// ForWorkspace returns the table of a workspace, or that of the service if there are already maxWorkspaces tables.
func (t *LengthTables) ForWorkspace(workspace string) *LengthTable {
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

// RecordGrowth records that a running answer of a workspace grew from one number of tokens to another.
func (t *LengthTables) RecordGrowth(workspace string, from, to int) {
	if table := t.ForWorkspace(workspace); table != t.service {
		table.RecordGrowth(from, to)
	}
	t.service.RecordGrowth(from, to)
}

// RecordEnd records that an answer of a workspace ended by itself after the given number of tokens.
func (t *LengthTables) RecordEnd(workspace string, tokens int) {
	if table := t.ForWorkspace(workspace); table != t.service {
		table.RecordEnd(tokens)
	}
	t.service.RecordEnd(tokens)
}
