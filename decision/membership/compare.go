package membership

import "cmp"

// compareStrings compares a1 with b1, then a2 with b2.
func compareStrings(a1, b1, a2, b2 string) int {
	return cmp.Or(cmp.Compare(a1, b1), cmp.Compare(a2, b2))
}
