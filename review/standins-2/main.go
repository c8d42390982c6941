// Command standins-2 runs the cases of the second review: it starts a stand-in of the platform,
// stand-ins of engines and clients, and processes of the system.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// limit is the longest time of a run.
const limit = 115 * time.Second

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	cases := map[string]func(*lab) (broken bool, err error){
		"case-6": case6,
		"case-7": case7,
		"case-8": case8,
		"case-9": case9,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	// A run that takes too long, or is told to end, ends its processes and counts as not run.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			l.say("the case was ended by %v", s)
		case <-time.After(limit):
			l.say("the case took longer than %s", limit)
		}
		l.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[os.Args[1]](l)
	if err != nil {
		l.say("the case couldn't run: %v", err)
	}
	l.close()
	switch {
	case err != nil:
		os.Exit(exitFailed)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
