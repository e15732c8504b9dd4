// Command standin plays the platform, the workers and the callers of one case of the review. The nodes of azuredyke run as
// separate processes. It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the names of the cases to the functions that play them. A function returns the breaches of its rule.
var cases = map[string]func(*site) ([]string, error){
	"crash":    playCrash,
	"handover": playHandover,
	"leave":    playLeave,
	"revoke":   playRevoke,
	"stop":     playStop,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run plays one case and returns the exit code.
func run(play func(*site) ([]string, error), folder string) int {
	file, err := os.Create(filepath.Clean(filepath.Join(folder, "record.txt")))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 2
	}
	defer func() { _ = file.Close() }()
	log := newRecord(file)
	s, err := newSite(log, os.Getenv("TROUBLE") != "0")
	if err != nil {
		log.add("the case could not run: %v", err)
		return 2
	}
	defer s.close()
	breaches, err := play(s)
	if err != nil {
		log.add("the case could not run: %v", err)
		return 2
	}
	for _, b := range breaches {
		log.add("BREACH %s", b)
	}
	if len(breaches) > 0 {
		log.add("the rule was broken")
		return 1
	}
	log.add("the rule held")
	return 0
}
