package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// storedEvidence is the evidence from which a mark is stored: two endpoints have crashed. After one crash all requests of the endpoint
	// are suspects, and most of them are sound.
	storedEvidence = 2
	// maxStoredMarks bounds the entries in the key-value service. Under more deadly requests, those with the most evidence are stored.
	maxStoredMarks = 64
	// renewAfter is the age at which the entry of a mark is written again. It is half of MaxStorage.
	renewAfter = 5 * time.Minute
	// MaxStorage is the longest time for which an entry stays in the key-value service without being written again.
	MaxStorage = 10 * time.Minute
)

// StorageChange lists the entries of the key-value service that differ from the marks of a node.
type StorageChange struct {
	// Put holds the marks to write, those with the most evidence first.
	Put []Mark
	// Delete holds the fingerprints whose evidence was discarded.
	Delete []Fingerprint
}

// NewStorageChange compares the marks of a node with the entries in the key-value service.
func NewStorageChange(known Snapshot, stored map[Fingerprint]StoredMark) StorageChange {
	var c StorageChange
	candidates := make([]Mark, 0, len(known))
	for f, m := range known {
		entry, ok := stored[f]
		switch {
		case m.Evidence >= storedEvidence:
			candidates = append(candidates, m)
		case ok && m.supersedes(entry.Mark):
			c.Delete = append(c.Delete, f)
		}
	}
	slices.SortFunc(candidates, compareMarks)
	for _, m := range candidates[:min(maxStoredMarks, len(candidates))] {
		entry, ok := stored[m.Fingerprint]
		if !ok || m.supersedes(entry.Mark) || !entry.Mark.supersedes(m) && entry.Age >= renewAfter {
			c.Put = append(c.Put, m)
		}
	}
	slices.Sort(c.Delete)
	return c
}

// compareMarks orders marks by evidence and remaining time, the largest first.
func compareMarks(a, b Mark) int {
	return cmp.Or(cmp.Compare(b.Evidence, a.Evidence), cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Fingerprint, b.Fingerprint))
}
