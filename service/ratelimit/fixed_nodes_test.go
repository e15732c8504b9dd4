package ratelimit

import (
	"context"
	"errors"
	"slices"

	"azuredyke.dev/azuredyke/decision/limit"
)

// fixedNodes lists nodes that can't be asked.
type fixedNodes []Node

func (f fixedNodes) Nodes() []Node { return slices.Clone(f) }

func (f fixedNodes) Ask(context.Context, string, Question) (limit.Grant, error) {
	return limit.Grant{}, errors.New("not connected")
}
