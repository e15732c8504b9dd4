package config

import (
	"fmt"
	"strings"
)

// maxProblemsShown bounds the number of problems in the text of an InvalidError.
const maxProblemsShown = 20

// InvalidError lists the problems of the configuration that a change would result in.
type InvalidError struct {
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, min(len(e.Problems), maxProblemsShown+1))
	for i, p := range e.Problems {
		if i == maxProblemsShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.Problems)-i))
			break
		}
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "; ")
}
