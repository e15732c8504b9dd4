package soak

// Routes of the site, by the first part of the path.
const (
	// routeNote is a stream that may run once, routeReply one that may be resumed.
	routeNote  = "note"
	routeReply = "reply"
	// routeBooking may run once, routeLookup may be repeated.
	routeBooking = "booking"
	routeLookup  = "lookup"
)
