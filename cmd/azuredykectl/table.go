package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/zeebo/errs"
)

// table is a header and rows of equal length.
type table struct {
	header []string
	rows   [][]string
}

// write aligns the columns.
func (t table) write(out interface{ Write([]byte) (int, error) }) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		for i, cell := range row {
			row[i] = oneLine(cell)
		}
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errs.Wrap(w.Flush())
}

// oneLine replaces control characters, which would break a table or change a terminal's state.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}
