package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// Options configures a run.
type Options struct {
	// Program is the path of the node's program.
	Program string
	// Seed determines the faults and the load.
	Seed uint64
	// Length is the time during which faults begin.
	Length time.Duration
	// Nodes is the number of nodes.
	Nodes int
	// MeanInterval is the mean time between two requests.
	MeanInterval time.Duration
	// Dir is the folder for settings and logs. They are kept after the run.
	Dir string
	// Output receives a line for each fault as it begins.
	Output io.Writer
}

// Result is the result of a run.
type Result struct {
	// Calls is the number of requests, and Served that of requests with status 200
	// and a complete response.
	Calls, Served int
	// Violations describes the violated guarantees.
	Violations []string
}

// Run starts a deployment, injects the faults of one seed under load, waits for the
// recovery, and checks the guarantees.
func Run(ctx context.Context, o Options) (Result, error) {
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return Result{}, err
	}
	d, err := newDeployment(o.Dir, o.Program, o.Nodes)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return Result{}, err
	}
	if err := d.waitReady(ctx); err != nil {
		return Result{}, err
	}
	g := newLoadGenerator(d.nodes)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go g.refreshAddresses(ctx)
	go d.copyStore(ctx)
	loadDone := make(chan struct{})
	go func() {
		g.generate(ctx, newRandom(o.Seed), o.MeanInterval)
		close(loadDone)
	}()
	d.runPlan(newPlan(o.Seed, o.Length), func(line string) { _, _ = fmt.Fprintln(o.Output, line) })
	time.Sleep(recoveryPeriod)
	ended := time.Now()
	stop()
	<-loadDone
	result := Result{Calls: len(g.calls), Violations: d.violations(g.calls, ended)}
	for _, call := range g.calls {
		if call.status == 200 && call.complete {
			result.Served++
		}
	}
	return result, nil
}
