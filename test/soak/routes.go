package soak

// Route names of the site, which are the first segment of the path.
const (
	// routeNote answers with a stream and runs at most once; routeReply answers with a resumable stream.
	routeNote  = "note"
	routeReply = "reply"
	// routeBooking runs at most once; routeLookup is idempotent.
	routeBooking = "booking"
	routeLookup  = "lookup"
	// longSegment follows the route of a long note.
	longSegment = "/long"
)
