package quarantine

// latePolicy selects how a crash after the first event of a stream counts.
type latePolicy string

const (
	// ignoreLate discards the evidence at the first event, so that a run goes on whatever has crashed.
	ignoreLate latePolicy = "ignored"
	// twoLate puts a request into quarantine after two crashes.
	twoLate latePolicy = "two crashes"
	// productLate is the policy of nodes: three crashes.
	productLate latePolicy = "product"
)

var latePolicies = []latePolicy{ignoreLate, twoLate, productLate}
