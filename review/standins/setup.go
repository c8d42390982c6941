package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// setup is what every case starts with.
type setup struct {
	root, folder, dir, prefix string
	trouble                   bool
	record                    *record
	store                     *store
	nodes                     []*node
}

// runCase runs a case and returns the exit code.
func runCase(run func(*setup) (bool, error), root, folder string) int {
	notRun := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return notRun(err)
	}
	s := &setup{root: root, folder: folder, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	if s.record, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		return notRun(err)
	}
	if s.prefix, err = freePrefix(); err != nil {
		return notRun(err)
	}
	if s.store, err = startStore(fmt.Sprintf("%s.1:%d", s.prefix, portStore)); err != nil {
		return notRun(err)
	}
	broken, err := run(s)
	for _, n := range s.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs of the nodes:", dir)
	}
	switch {
	case err != nil:
		s.record.add("case", "couldn't run: %v", err)
		return notRun(err)
	case broken:
		s.record.add("case", "the rule was broken (trouble=%t)", s.trouble)
		fmt.Println("the rule was broken")
		return exitBroken
	}
	s.record.add("case", "the rule held (trouble=%t)", s.trouble)
	fmt.Println("the rule held")
	return exitHeld
}

// startNodes starts the system and waits until it is ready.
func (s *setup) startNodes(count int) error {
	for i := range count {
		n, err := newNode(s.root, s.dir, s.prefix, i, count)
		if err == nil {
			s.nodes = append(s.nodes, n)
			err = n.start()
		}
		if err != nil {
			return err
		}
	}
	for _, n := range s.nodes {
		if err := n.waitReady(time.Now().Add(15 * time.Second)); err != nil {
			return err
		}
	}
	return nil
}
