// Command rattanlanding runs one node of the serving system.
package main

import (
	"cmp"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.uber.org/fx"

	"github.com/rattanlanding/rattanlanding/entry"
	"github.com/rattanlanding/rattanlanding/internal/logsink"
	"github.com/rattanlanding/rattanlanding/node"
	"github.com/rattanlanding/rattanlanding/platform"
	"github.com/rattanlanding/rattanlanding/settings"
)

// Exit codes.
const (
	exitFailed   = 1 // A component failed; fx exits with this code, on the component's request.
	exitSettings = 2 // The settings are invalid.
)

// cli is the command line.
type cli struct {
	Run   runCommand   `cmd:"" default:"withargs" help:"Run the node (default)."`
	Entry entryCommand `cmd:"" help:"Run a node on the users' platform."`
	Check checkCommand `cmd:"" help:"Check a settings file and exit."`
}

// entryCommand runs a node on the users' platform.
type entryCommand struct {
	Config string `help:"Settings file in JSON; by default the one that the platform provides." type:"path"`
}

// runCommand runs a node.
type runCommand struct {
	Config string `help:"Settings file in JSON." required:"" type:"path"`
}

// checkCommand checks a settings file.
type checkCommand struct {
	Config string `help:"Settings file in JSON." required:"" type:"path"`
	Entry  bool   `help:"The file is for the entry command."`
}

func main() {
	var c cli
	parsed := kong.Parse(&c, kong.Name("rattanlanding"),
		kong.Description("Serving system for models whose every replica spans several instances."))
	os.Exit(run(&c, parsed.Command()))
}

// run executes the chosen command and returns the exit code.
func run(c *cli, command string) int {
	switch command {
	case "check":
		return check(c.Check)
	case "entry":
		return serveEntry(c.Entry.Config)
	}
	s, err := settings.Load(c.Run.Config)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	return serve(s)
}

// check checks a settings file, prints the result and returns the exit code.
func check(c checkCommand) int {
	var err error
	if c.Entry {
		_, err = entry.LoadSettings(c.Config)
	} else {
		_, err = settings.Load(c.Config)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	fmt.Println("settings are valid")
	return 0
}

// serveEntry runs a node on the users' platform.
func serveEntry(path string) int {
	path = cmp.Or(path, platform.SettingsPath())
	s, err := entry.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close()
	return runApp(entry.New(s, entry.SettingsFile(path), logsink.Limit(newLogger(sink, s.Node, s.LogLevel))))
}

// serve runs a node until a signal or the failure of a component stops it.
func serve(s settings.Settings) int {
	return runApp(node.New(s, newLogger(log.NewSyncWriter(os.Stderr), s.Node, s.Log.Level)))
}

// runApp runs an application until it stops and returns the exit code.
func runApp(app *fx.App) int {
	if err := app.Err(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	app.Run()
	return 0
}

// newLogger returns a logfmt logger that drops lines below minLevel.
func newLogger(output io.Writer, node, minLevel string) log.Logger {
	logger := log.NewLogfmtLogger(output)
	logger = log.With(logger, "ts", log.DefaultTimestampUTC, "node", node)
	return level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
}
