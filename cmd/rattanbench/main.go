// Command rattanbench sends load to a running system as callers do, and runs the
// project's demonstration, measurements and fault tests.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rattanlanding/rattanlanding/internal/bench"
	"github.com/rattanlanding/rattanlanding/internal/measure"
	"github.com/rattanlanding/rattanlanding/internal/soak"
)

// resultDirMode is the mode of folders that are created for results.
const resultDirMode = 0o755

// cli is the command line.
type cli struct {
	Demo    demoCommand    `cmd:"" help:"Show the request path against the stand-ins."`
	Load    loadCommand    `cmd:"" help:"Send completions and report times and failures."`
	Measure measureCommand `cmd:"" help:"Run the measurements with a fixed seed."`
	Soak    soakCommand    `cmd:"" help:"Run nodes under random faults and check what callers and engines see."`
}

// demoCommand runs the demonstration.
type demoCommand struct {
	Seeds        []string      `help:"Callers' addresses of nodes." required:""`
	Servers      []string      `help:"Addresses of the plain service's stand-ins." required:""`
	Organisation string        `help:"Name of the caller's organisation." required:""`
	Key          string        `help:"Key of the caller's organisation." required:"" env:"RATTANBENCH_KEY"`
	Model        string        `help:"Model service." default:"care-llm"`
	Service      string        `help:"Plain service." default:"front-desk"`
	Path         string        `help:"Path of a non-idempotent call." default:"/deposits"`
	Timeout      time.Duration `help:"Time limit of the whole demonstration." default:"25s"`
}

// Run implements kong's command interface.
func (c *demoCommand) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return bench.Demo{
		Seeds: c.Seeds, Servers: c.Servers, Organisation: c.Organisation, Key: c.Key,
		Model: c.Model, Service: c.Service, Path: c.Path,
	}.Run(ctx, os.Stdout)
}

// loadCommand runs the load test.
type loadCommand struct {
	Seeds        []string      `help:"Callers' addresses of nodes." required:""`
	Organisation string        `help:"Name of the caller's organisation." required:""`
	Key          string        `help:"Key of the caller's organisation." required:"" env:"RATTANBENCH_KEY"`
	Model        string        `help:"Model service." default:"care-llm"`
	Callers      int           `help:"Number of concurrent requests." default:"8"`
	MaxTokens    int           `help:"Output tokens per request." default:"64"`
	Duration     time.Duration `help:"Time during which requests are started." default:"10s"`
	CheckAnswers bool          `help:"Compare every response with the one expected from the stand-ins."`
}

// Run implements kong's command interface.
func (c *loadCommand) Run(ctx context.Context) error {
	return bench.Load{
		Seeds: c.Seeds, Organisation: c.Organisation, Key: c.Key, Model: c.Model, Callers: c.Callers,
		MaxTokens: c.MaxTokens, Duration: c.Duration, CheckOutput: c.CheckAnswers,
	}.Run(ctx, os.Stdout)
}

// measureCommand runs the measurements.
type measureCommand struct {
	Only []string `help:"Names of the measurements to run; all by default."`
	Seed uint64   `help:"Seed of all randomness." default:"1"`
	Out  string   `help:"Output file with one JSON object per figure." default:"build/measure.jsonl"`
}

// Run implements kong's command interface.
func (c *measureCommand) Run(ctx context.Context) error {
	if err := os.MkdirAll(filepath.Dir(c.Out), resultDirMode); err != nil {
		return err
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	defer file.Close()
	return measure.Run(ctx, measure.Options{Only: c.Only, Seed: c.Seed, Lines: file, Table: os.Stdout})
}

// soakCommand runs the soak test with random faults.
type soakCommand struct {
	Program string        `help:"Path of the node's program." default:"build/bin/rattanlanding"`
	Seed    uint64        `help:"First seed." default:"1"`
	Seeds   int           `help:"Number of consecutive seeds to run." default:"1"`
	Length  time.Duration `help:"Time during which faults begin." default:"15s"`
	Nodes   int           `help:"Number of nodes." default:"4"`
	Between time.Duration `help:"Mean time between two requests." default:"15ms"`
	Dir     string        `help:"Folder for settings and logs." default:"build/soak"`
}

// errGuaranteesViolated means that a run of the soak test found violated guarantees.
var errGuaranteesViolated = errors.New("promises were broken")

// Run implements kong's command interface.
func (c *soakCommand) Run(ctx context.Context) error {
	var failed error
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds) && ctx.Err() == nil; seed++ {
		result, err := soak.Run(ctx, soak.Options{Program: c.Program, Seed: seed, Length: c.Length, Nodes: c.Nodes,
			MeanInterval: c.Between, Dir: filepath.Join(c.Dir, strconv.FormatUint(seed, 10)), Output: os.Stdout})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d of %d requests served, %d promises broken\n", seed, result.Served, result.Calls, len(result.Violations))
		for _, line := range result.Violations {
			fmt.Println("broken:", line)
			failed = errGuaranteesViolated
		}
	}
	return failed
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parsed := kong.Parse(&cli{}, kong.Name("rattanbench"),
		kong.Description("Load tool for rattanlanding."), kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}
