package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"azuredyke.dev/azuredyke/test/harness"
)

var (
	seeds  = flag.Int("soak.seeds", 0, "number of fresh seeds to play")
	first  = flag.Uint64("soak.seed", 0, "play this seed; with soak.seeds, the first of them")
	length = flag.Duration("soak.length", 10*time.Second, "time in which faults begin")
	timed  = flag.Bool("soak.timed", false, "check the promises with a bound of time as well; for machines that are not busy")
	keep   = flag.String("soak.keep", "", "folder in which the logs and the plan of a failed seed are kept")
)

// ciLength is the length of the runs in CI.
const ciLength = 5 * time.Second

// ciSeeds are played in CI.
var ciSeeds = []uint64{1, 2}

// failedSeeds are the seeds that ever failed, with the cause.
var failedSeeds = []struct {
	seed  uint64
	cause string
}{
	{1014, "a node that was killed and came back within a second used its share of a cold engine's limit twice"},
}

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	harness.RemoveBinary()
	os.Exit(code)
}

// Guards against promises that hold for each fault alone and break when faults come together.
func TestSoak(t *testing.T) {
	for _, seed := range ciSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed, ciLength)
		})
	}
}

// Guards against the return of faults that the soak has found.
func TestFailedSeeds(t *testing.T) {
	for _, one := range failedSeeds {
		t.Run(fmt.Sprint(one.seed), func(t *testing.T) {
			t.Parallel()
			t.Log(one.cause)
			soak(t, one.seed, *length)
		})
	}
}

// Guards against faults that no one has thought of. It is run by hand, see docs/operating/soak.md.
func TestFreshSeeds(t *testing.T) {
	if *seeds == 0 && *first == 0 {
		t.Skip("needs -soak.seeds or -soak.seed")
	}
	start := *first
	if start == 0 {
		start = rand.Uint64N(1 << 40)
	}
	for n := range uint64(max(1, *seeds)) {
		t.Run(fmt.Sprint(start+n), func(t *testing.T) {
			t.Parallel()
			soak(t, start+n, *length)
		})
	}
}

// soak plays a seed and fails the test for each breach.
func soak(t *testing.T, seed uint64, length time.Duration) {
	p := newPlan(seed, length)
	h := play(t, p)
	served := 0
	for i := range h.attempts {
		if h.attempts[i].whole() && h.attempts[i].status == 200 {
			served++
		}
	}
	t.Logf("seed %d: %d faults, %d attempts, %d served, %d runs, %d processes", seed, len(h.struck), len(h.attempts), served, len(h.workers.Runs), len(h.lives))
	found := breaches(h, *timed)
	for _, one := range found {
		t.Error(one)
	}
	assert.Assert(t, served > 0, "nothing was served")
	if len(found) == 0 {
		return
	}
	t.Logf("plan of seed %d, length %v:\n%s", seed, length, p)
	if *keep != "" {
		keepRun(t, p, h, found)
	}
}

// keepRun writes what a failed run left.
func keepRun(t *testing.T, p plan, h *history, found []string) {
	folder := filepath.Join(*keep, fmt.Sprint("seed-", p.seed))
	assert.NilError(t, os.MkdirAll(folder, 0o750))
	write := func(name, content string) {
		assert.NilError(t, os.WriteFile(filepath.Join(folder, name), []byte(content), 0o600))
	}
	write("breaches", strings.Join(found, "\n"))
	write("plan", p.String())
	write("struck", fmt.Sprintf("%+v", h.struck))
	for n, log := range h.logs {
		write(fmt.Sprintf("node-%d.log", n), log)
	}
}
