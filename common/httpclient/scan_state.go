package httpclient

// scanState is the part of an answer to which the next byte belongs.
type scanState uint8

const (
	scanVersion scanState = iota
	scanStatus
	scanReason
	scanLineStart
	// scanEmptyLine follows a carriage return at the start of a line.
	scanEmptyLine
	scanName
	scanValue
	scanChunkSize
	scanChunkExtension
	// scanDone is the state in a body without chunks and after the trailers.
	scanDone
)
