package catalog

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// Capacity is the memory of one engine in tokens.
	Capacity int
	// Moves and Backups say which transfers of memory the engines support.
	Moves   bool
	Backups bool
}
