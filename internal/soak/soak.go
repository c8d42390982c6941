package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// Options of a run.
type Options struct {
	// Program is the path of the node's program.
	Program string
	// Seed draws the faults and the load.
	Seed uint64
	// Length is the time in which faults begin.
	Length time.Duration
	// Nodes is the number of nodes.
	Nodes int
	// Between is the mean time between two requests.
	Between time.Duration
	// Dir is a folder for settings and logs, which stay there after a failed run.
	Dir string
	// Output gets the faults as they begin, and the result.
	Output io.Writer
}

// Result is what a run found.
type Result struct {
	Calls, Served int
	// Broken lists the broken promises.
	Broken []string
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Result{}, err
	}
	w, err := newWorld(o.Dir, o.Program, o.Nodes)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return Result{}, err
	}
	if err := w.await(ctx); err != nil {
		return Result{}, err
	}
	c := newCallers(w.nodes)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go c.resolve(ctx)
	loaded := make(chan struct{})
	go func() {
		c.load(ctx, newRandom(o.Seed), o.Between)
		close(loaded)
	}()
	w.play(newPlan(o.Seed, o.Length), func(line string) { _, _ = fmt.Fprintln(o.Output, line) })
	time.Sleep(calmTime)
	ended := time.Now()
	stop()
	<-loaded
	result := Result{Calls: len(c.calls), Broken: w.check(c.calls, ended)}
	for _, call := range c.calls {
		if call.status == 200 && call.whole {
			result.Served++
		}
	}
	return result, nil
}
