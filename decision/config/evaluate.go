package config

// Evaluate applies a change to a snapshot. It returns the resulting snapshot, at the next revision, and the warnings that
// the change overrides. The error is a *ConflictError, *NotFoundError or *InvalidError.
//
// Only problems that the change introduces and errors of the changed object are reported. An existing problem must not
// prevent operators from an unrelated change, such as taking a second data centre out.
func Evaluate(s *Snapshot, c Change) (*Snapshot, []Problem, error) {
	stored := s.Get(c.Ref)
	proposed, err := c.Apply(stored)
	if err != nil {
		return nil, nil, err
	}
	if err := checkExpected(stored, proposed, c); err != nil {
		return nil, nil, err
	}
	next := s.revision + 1
	if proposed != nil {
		copied := *proposed
		copied.Ref, copied.Revision = c.Ref, next
		proposed = &copied
	}
	result := s.WithObject(next, c.Ref, proposed)
	problems := append(Validate(result), validateTransition(stored, proposed)...)
	problems = introducedProblems(Validate(s), problems, c.Ref)
	var warnings []Problem
	for _, p := range problems {
		if !p.Warning || !c.Force {
			return nil, nil, &InvalidError{Problems: problems}
		}
		warnings = append(warnings, p)
	}
	return result, warnings, nil
}

// introducedProblems returns the problems after a change that did not exist before it, and all errors of the changed
// object.
func introducedProblems(before, after []Problem, changed Ref) []Problem {
	known := make(map[Problem]bool, len(before))
	for _, p := range before {
		known[p] = true
	}
	var out []Problem
	for _, p := range after {
		if !known[p] || (p.Ref == changed && !p.Warning) {
			out = append(out, p)
		}
	}
	return out
}

// checkExpected compares the stored revision with the one that the change was made against.
func checkExpected(stored, proposed *Object, c Change) error {
	if stored == nil && proposed == nil {
		return &NotFoundError{Ref: c.Ref}
	}
	if c.Expected == AnyRevision {
		return nil
	}
	current := int64(0)
	if stored != nil {
		current = stored.Revision
	}
	if current != c.Expected {
		return &ConflictError{Ref: c.Ref, Stored: stored, Proposed: proposed, Expected: c.Expected}
	}
	return nil
}

// validateTransition checks the rules that compare an object before and after a change.
func validateTransition(before, after *Object) []Problem {
	if before == nil || after == nil || before.Service == nil || after.Service == nil {
		return nil
	}
	if before.Service.Cells != after.Service.Cells {
		return []Problem{{Ref: after.Ref, Field: "cells", Message: "cannot be changed after creation"}}
	}
	return nil
}
