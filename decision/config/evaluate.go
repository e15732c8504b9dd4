package config

// Evaluate returns the snapshot that a change gives, at the next revision, and the warnings that it overrides. The error
// is a *ConflictError, *NotFoundError or *InvalidError.
//
// Only problems that the change causes count, and errors of the changed object itself: a problem that is there already
// must not keep operators from changing something else, such as taking a second data centre out.
func Evaluate(s *Snapshot, c Change) (*Snapshot, []Problem, error) {
	stored := s.Get(c.Ref)
	proposed, err := c.Proposal(stored)
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
	result := s.With(next, c.Ref, proposed)
	problems := append(Validate(result), validateTransition(stored, proposed)...)
	problems = caused(Validate(s), problems, c.Ref)
	var warnings []Problem
	for _, p := range problems {
		if !p.Warning || !c.Force {
			return nil, nil, &InvalidError{Problems: problems}
		}
		warnings = append(warnings, p)
	}
	return result, warnings, nil
}

// caused returns the problems after a change that were not there before it, and the errors of the changed object.
func caused(before, after []Problem, changed Ref) []Problem {
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

// validateTransition checks what depends on the object before the change.
func validateTransition(before, after *Object) []Problem {
	if before == nil || after == nil || before.Service == nil || after.Service == nil {
		return nil
	}
	if before.Service.Cells != after.Service.Cells {
		return []Problem{{Ref: after.Ref, Field: "cells", Message: "cannot be changed after creation"}}
	}
	return nil
}
