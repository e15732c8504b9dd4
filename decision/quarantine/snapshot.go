package quarantine

// Snapshot is an immutable copy of the marks of a table.
type Snapshot map[Fingerprint]Mark

// Assess returns the standing of a request with the given fingerprints.
func (s Snapshot) Assess(fingerprints []Fingerprint) Assessment {
	a := Assessment{Marks: make([]Mark, len(fingerprints))}
	for i, f := range fingerprints {
		m, ok := s[f]
		if !ok {
			m = Mark{Fingerprint: f}
		}
		a.Marks[i] = m
		a.Standing = max(a.Standing, m.Standing())
	}
	return a
}

// Restrict returns the marks of the given fingerprints.
func (s Snapshot) Restrict(fingerprints []Fingerprint) Snapshot {
	known := Snapshot{}
	for _, f := range fingerprints {
		if m, ok := s[f]; ok {
			known[f] = m
		}
	}
	return known
}
