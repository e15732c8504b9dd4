package soak

// keeperOrder is what a keeper does to its process.
type keeperOrder uint8

const (
	orderKill keeperOrder = iota
	orderTerminate
	orderHangup
	orderPause
	orderContinue
)
