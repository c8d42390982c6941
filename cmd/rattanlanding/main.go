// Command rattanlanding runs one node of the serving system.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/rattanlanding/rattanlanding/node"
	"github.com/rattanlanding/rattanlanding/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// cli is the command line.
type cli struct {
	Run   runCommand   `cmd:"" default:"withargs" help:"Run the node (default)."`
	Check checkCommand `cmd:"" help:"Check a settings file and exit."`
}

// runCommand runs a node.
type runCommand struct {
	Config string `help:"Settings file in JSON." required:"" type:"path"`
}

// checkCommand checks a settings file.
type checkCommand struct {
	Config string `help:"Settings file in JSON." required:"" type:"path"`
}

func main() {
	var c cli
	parsed := kong.Parse(&c, kong.Name("rattanlanding"),
		kong.Description("Serving system for models whose every replica spans several instances."))
	os.Exit(run(&c, parsed.Command()))
}

// run executes the chosen command and returns the exit code.
func run(c *cli, command string) int {
	if command == "check" {
		return check(c.Check.Config)
	}
	s, err := settings.Load(c.Run.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	return serve(s)
}

// check prints whether a settings file is valid.
func check(path string) int {
	if _, err := settings.Load(path); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Println("settings are valid")
	return 0
}

// serve runs a node until a signal or a fault stops it.
func serve(s settings.Settings) int {
	app := node.New(s, newLogger(s))
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	app.Run()
	return 0
}

// newLogger returns a logfmt logger on standard error with the level of the
// settings.
func newLogger(s settings.Settings) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "node", s.Node)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(s.Log.Level, level.InfoValue())))
}
