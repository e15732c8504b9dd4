package quarantine

// simulatedPolicy selects by which fingerprints nodes know a request.
type simulatedPolicy string

const (
	// noPolicy uses no fingerprint, so that all requests are sent.
	noPolicy simulatedPolicy = "none"
	// wholePromptPolicy uses one fingerprint for the whole request.
	wholePromptPolicy simulatedPolicy = "whole prompt"
	// partsPolicy also uses a fingerprint for each shared part, as nodes do.
	partsPolicy simulatedPolicy = "parts"
)
