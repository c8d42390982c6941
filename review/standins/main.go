// Command standins runs the cases of the review: it starts the project's program as separate
// processes, and plays the platform's store, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "desk" {
		os.Exit(runDesk(os.Args[2:]))
	}
	cases := map[string]func(*setup) (bool, error){"odd-entry": oddEntry, "polled": polled, "limit-raised": limitRaised, "uploads": uploads, "size-change": sizeChange}
	run := cases[os.Args[1]]
	if run == nil || len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, os.Args[2], os.Args[3]))
}
