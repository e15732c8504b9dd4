package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitInvalid = 2
)

// maxDuration bounds a case.
const maxDuration = 115 * time.Second

// cases maps the names of the cases to the functions that play them. A function returns whether the rule held.
var cases = map[string]func(*site) (bool, error){
	"restored-store":    playRestoredStore,
	"late-registration": playLateRegistration,
	"deadly-part":       playDeadlyPart,
	"late-deadly-part":  playLateDeadlyPart,
	"killed-engine":     playKilledEngine,
	"long-answer":       playLongAnswer,
	"moved-key":         playMovedKey,
	"full-backup":       playFullBackup,
	"cold-restart":      playColdRestart,
	"paused-standby":    playPausedStandby,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 4 && os.Args[1] == engineMode {
		return runEngine(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		return exitInvalid
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s, err := newSite(newRecord(out), dir, filepath.Join("target", "azuredyked"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	}
	defer s.close()
	s.endAfter(maxDuration)
	held, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.record.writef("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitInvalid
	case held:
		s.record.writef("result: the rule held")
		return exitHeld
	default:
		s.record.writef("result: the rule was broken")
		return exitBroken
	}
}
