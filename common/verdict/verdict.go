// Package verdict says whether a request may have run, for every error that reaches a caller.
package verdict

import "github.com/zeebo/errs"

// ErrVerdict is the class of the errors of this package.
var ErrVerdict = errs.Class("verdict")

// Verdict says whether an endpoint may have run a request.
type Verdict uint8

const (
	// MayHaveRun means that the request may or may not have run. It is the zero value, so that a verdict that was never set
	// makes no claim.
	MayHaveRun Verdict = iota
	// NotRun means that no endpoint received the request, or that the endpoint refused it.
	NotRun
	// Ran means that an endpoint answered the request.
	Ran
)

// Header is the HTTP header that carries the verdict to callers.
const Header = "Azuredyke-Verdict"

// String returns the text that is sent to callers: "not-run", "may-have-run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict for a text returned by String.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		if v.String() == s {
			return v, nil
		}
	}
	return MayHaveRun, ErrVerdict.New("unknown verdict %q", s)
}
