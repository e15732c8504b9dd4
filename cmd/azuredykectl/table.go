package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// table is a header and rows, all with the same number of columns.
type table struct {
	header []string
	rows   [][]string
}

// write prints the table with aligned columns.
func (t table) write(out interface{ Write([]byte) (int, error) }) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		for i, value := range row {
			row[i] = replaceControlCharacters(value)
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errs.Wrap(w.Flush())
}

// replaceControlCharacters replaces control characters by blanks, because they can break a table or change the state of a
// terminal.
func replaceControlCharacters(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}
