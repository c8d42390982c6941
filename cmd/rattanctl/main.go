// Command rattanctl submits release notes to a running system and shows its
// status. Exit codes: 0 success, 1 refused, 2 usage, 3 outcome unknown.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"

	"github.com/alecthomas/kong"

	"github.com/rattanlanding/rattanlanding/verdict"
)

// Exit codes.
const (
	// exitOK means that the command succeeded.
	exitOK = 0
	// exitRefused means that the request was certainly not executed.
	exitRefused = 1
	// exitUsage means that the command line was invalid.
	exitUsage = 2
	// exitUnknown means that the request may have been executed.
	exitUnknown = 3
)

// maxKeyBytes is the maximum size of a key file.
const maxKeyBytes = 4096

// cli is the command line.
type cli struct {
	Address []string `help:"Operators' address of a node as IP:port; may be repeated or comma separated." env:"RATTANCTL_ADDRESS" sep:","`
	Key     string   `kong:"-"`
	KeyFile string   `help:"File with the operator key; by default the environment variable RATTANCTL_KEY is used." type:"existingfile"`
	JSON    bool     `help:"Print the response as JSON." name:"json"`

	Apply   applyCommand   `cmd:"" help:"Apply a release note."`
	Diff    diffCommand    `cmd:"" help:"Show what a release note would change."`
	Status  statusCommand  `cmd:"" help:"Show a node's view of the system."`
	State   stateCommand   `cmd:"" help:"Dump the state of one node's process."`
	History historyCommand `cmd:"" help:"Show the accepted release notes."`
	Explain explainCommand `cmd:"" help:"Trace a request through the logs of several nodes."`
}

// environment holds the dependencies of the commands.
type environment struct {
	ctx    context.Context
	client *client
	out    io.Writer
	errOut io.Writer
	// json is true if responses are printed as JSON.
	json bool
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var c cli
	exited := -1
	parser, err := kong.New(&c, kong.Name("rattanctl"), kong.Writers(out, errOut),
		kong.Description("Operators' command line of rattanlanding."),
		kong.Exit(func(code int) { exited = code }))
	if err != nil {
		fmt.Fprintln(errOut, "rattanctl:", err)
		return exitUsage
	}
	command, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err == nil {
		err = errors.Join(checkAddresses(c.Address), checkAddresses(c.State.addresses()))
		// The explain command reads log files and sends no requests, so it needs no key.
		if !strings.HasPrefix(command.Command(), "explain") {
			err = errors.Join(c.loadKey(), err)
		}
	}
	if err != nil {
		fmt.Fprintln(errOut, "rattanctl:", err)
		return exitUsage
	}
	env := &environment{ctx: ctx, client: newClient(c.Address, c.Key), out: out, errOut: errOut, json: c.JSON}
	return exitCode(command.Run(env), env)
}

// checkAddresses checks the format of addresses before anything is sent.
func checkAddresses(addresses []string) error {
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("address %q: must be IP:port", address)
		}
	}
	return nil
}

// loadKey reads the operator key from the key file or else from the environment.
func (c *cli) loadKey() error {
	c.Key = os.Getenv("RATTANCTL_KEY")
	if c.KeyFile != "" {
		file, err := os.Open(c.KeyFile)
		if err != nil {
			return err
		}
		defer file.Close()
		data, err := io.ReadAll(io.LimitReader(file, maxKeyBytes))
		if err != nil {
			return err
		}
		c.Key = strings.TrimSpace(string(data))
	}
	if c.Key == "" {
		return fmt.Errorf("no operator key: set RATTANCTL_KEY or --key-file")
	}
	return nil
}

// usageError is an error in the command line or its files.
type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// exitCode prints err and returns the exit code for it.
func exitCode(err error, env *environment) int {
	if err == nil {
		return exitOK
	}
	var usage *usageError
	if errors.As(err, &usage) {
		fmt.Fprintln(env.errOut, "rattanctl:", usage.message)
		return exitUsage
	}
	e := verdict.Of(err)
	if env.json {
		printJSON(env.out, e.Body(""))
	}
	if e.Verdict == verdict.NotRun {
		fmt.Fprintln(env.errOut, "refused:", e)
		return exitRefused
	}
	fmt.Fprintln(env.errOut, "outcome unknown:", e)
	return exitUnknown
}
