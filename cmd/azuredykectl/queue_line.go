package main

import (
	"slices"
	"strings"

	operatorv1 "azuredyke.dev/azuredyke/gen/azuredyke/operator/v1"
)

// queueLine is the number of queued requests of one workspace in one cell.
type queueLine struct {
	Cell      string `json:"cell" yaml:"cell"`
	Workspace string `json:"workspace" yaml:"workspace"`
	Queued    int32  `json:"queued" yaml:"queued"`
}

// queueLines returns the non-empty queues of all cells, longest first.
func queueLines(cells []*operatorv1.Cell) []queueLine {
	lines := []queueLine{}
	for _, c := range cells {
		for workspace, n := range c.GetQueuedByWorkspace() {
			if n > 0 {
				lines = append(lines, queueLine{Cell: c.GetId(), Workspace: workspace, Queued: n})
			}
		}
	}
	slices.SortFunc(lines, func(x, y queueLine) int {
		if x.Queued != y.Queued {
			return int(y.Queued - x.Queued)
		}
		return strings.Compare(x.Cell+"\x00"+x.Workspace, y.Cell+"\x00"+y.Workspace)
	})
	return lines
}
