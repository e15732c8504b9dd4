package config

// Evaluate returns the snapshot that a change gives, at the next revision, and the warnings that it overrides. The error
// is a *ConflictError, *NotFoundError or *InvalidError.
func Evaluate(s *Snapshot, c Change) (*Snapshot, []Problem, error) {
	stored := s.Get(c.Ref)
	if err := checkExpected(stored, c); err != nil {
		return nil, nil, err
	}
	next := s.revision + 1
	var proposed *Object
	if c.Proposed != nil {
		copied := *c.Proposed
		copied.Ref, copied.Revision = c.Ref, next
		proposed = &copied
	}
	result := s.With(next, c.Ref, proposed)
	problems := append(Validate(result), validateTransition(stored, proposed)...)
	var warnings []Problem
	for _, p := range problems {
		if !p.Warning || !c.Force {
			return nil, nil, &InvalidError{Problems: problems}
		}
		warnings = append(warnings, p)
	}
	return result, warnings, nil
}

// checkExpected compares the stored revision with the one that the change was made against.
func checkExpected(stored *Object, c Change) error {
	if stored == nil && c.Proposed == nil {
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
		return &ConflictError{Ref: c.Ref, Stored: stored, Proposed: c.Proposed, Expected: c.Expected}
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
