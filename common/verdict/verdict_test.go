package verdict

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a verdict whose text clients cannot parse.
func TestParseReadsEveryVerdict(t *testing.T) {
	for _, v := range []Verdict{NotRun, MayHaveRun, Ran} {
		got, err := Parse(v.String())
		assert.NilError(t, err)
		assert.Equal(t, got, v)
	}
	_, err := Parse("maybe")
	assert.Assert(t, ErrVerdict.Has(err))
}

// Guards against reporting an error of another type as not-run.
func TestOfNeverClaimsNotRun(t *testing.T) {
	assert.Equal(t, Of(errors.New("reset")).Verdict, MayHaveRun)
	wrapped := fmt.Errorf("place: %w", New(NotRun, ReasonBusy, "queue full"))
	assert.Equal(t, Of(wrapped).Verdict, NotRun)
	assert.Equal(t, Error{}.Verdict, MayHaveRun)
}
