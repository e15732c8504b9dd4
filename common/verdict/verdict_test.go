package verdict

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a verdict whose printed form cannot be read back by clients.
func TestParseReadsEveryVerdict(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		got, err := Parse(v.String())
		assert.NilError(t, err)
		assert.Equal(t, got, v)
	}
	_, err := Parse("maybe")
	assert.Assert(t, ErrVerdict.Has(err))
}

// Guards against an unclassified error being reported as "not run".
func TestOfNeverClaimsNotRun(t *testing.T) {
	assert.Equal(t, Of(errors.New("reset")).Verdict, MayHaveRun)
	wrapped := fmt.Errorf("place: %w", New(NotRun, ReasonBusy, "queue full"))
	assert.Equal(t, Of(wrapped).Verdict, NotRun)
	assert.Equal(t, Error{}.Verdict, MayHaveRun)
}
