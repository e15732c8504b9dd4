package admission

// reservation keeps an endpoint free for one request.
type reservation struct {
	endpoint *endpoint
	ticket   uint64
}
