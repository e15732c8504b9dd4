// Command review2 runs one case of the second review: it starts nodes as separate processes, with stand-ins of the store, the
// workers and the clients in this process, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is below the 120 s that a script may take.
const caseTimeout = 110 * time.Second

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(context.Context, *site) (bool, error){
	"two-engines":   runTwoEngines,
	"departed":      runDeparted,
	"lost-answer":   runLostAnswer,
	"encoded-slash": runEncodedSlash,
	"crashing":      runCrashingRequest,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	defer cancel()
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	s, err := newSite(ctx, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.log("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	record.log("case %s, disruption: %t", name, s.trouble)
	broken, err := cases[name](ctx, s)
	if err == nil && ctx.Err() != nil {
		err = errors.New("the time of the case is over")
	}
	switch {
	case err != nil:
		record.log("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.log("RESULT: the rule was broken")
		return exitBroken
	default:
		record.log("RESULT: the rule held")
		return exitHeld
	}
}
