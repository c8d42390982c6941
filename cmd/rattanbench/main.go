// Command rattanbench sends load to a running system as callers do, and runs
// the project's demonstration.
package main

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/rattanlanding/rattanlanding/internal/bench"
	"github.com/rattanlanding/rattanlanding/internal/measure"
)

// directoryMode is the mode of folders that are made for results.
const directoryMode = 0o755

// cli is the command line.
type cli struct {
	Demo    demoCommand    `cmd:"" help:"Show the request path against the stand-ins."`
	Load    loadCommand    `cmd:"" help:"Send completions and report times and failures."`
	Measure measureCommand `cmd:"" help:"Run the measurements with a fixed seed."`
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

// loadCommand sends load.
type loadCommand struct {
	Seeds        []string      `help:"Callers' addresses of nodes." required:""`
	Organisation string        `help:"Name of the caller's organisation." required:""`
	Key          string        `help:"Key of the caller's organisation." required:"" env:"RATTANBENCH_KEY"`
	Model        string        `help:"Model service." default:"care-llm"`
	Callers      int           `help:"Requests in progress at a time." default:"8"`
	MaxTokens    int           `help:"Output tokens of a request." default:"64"`
	Duration     time.Duration `help:"Time in which requests are started." default:"10s"`
	CheckAnswers bool          `help:"Compare every answer with that of the stand-ins."`
}

// Run implements kong's command interface.
func (c *loadCommand) Run(ctx context.Context) error {
	return bench.Load{
		Seeds: c.Seeds, Organisation: c.Organisation, Key: c.Key, Model: c.Model, Callers: c.Callers,
		MaxTokens: c.MaxTokens, Duration: c.Duration, CheckAnswers: c.CheckAnswers,
	}.Run(ctx, os.Stdout)
}

// measureCommand runs measurements.
type measureCommand struct {
	Only []string `help:"Names of the measurements to run; all by default."`
	Seed uint64   `help:"Seed of all randomness." default:"1"`
	Out  string   `help:"File for one JSON object a figure." default:"build/measure.jsonl"`
}

// Run implements kong's command interface.
func (c *measureCommand) Run(ctx context.Context) error {
	if err := os.MkdirAll(filepath.Dir(c.Out), directoryMode); err != nil {
		return err
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	defer file.Close()
	return measure.Run(ctx, measure.Options{Only: c.Only, Seed: c.Seed, Lines: file, Table: os.Stdout})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	parsed := kong.Parse(&cli{}, kong.Name("rattanbench"),
		kong.Description("Load tool for rattanlanding."), kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}
