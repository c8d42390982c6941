// Command rattanstandin runs simulated platforms, engines and plain servers for tests
// and the demonstration.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-kit/log"

	"github.com/rattanlanding/rattanlanding/internal/standin"
)

var commandLine struct {
	Config string        `required:"" help:"JSON file with the stand-ins of this process."`
	Grace  time.Duration `default:"10s" help:"Time to finish requests after SIGTERM."`
}

func main() {
	arguments := kong.Parse(&commandLine, kong.Name("rattanstandin"),
		kong.Description("Simulated platform, engines and plain servers."))
	arguments.FatalIfErrorf(run())
}

// run starts the stand-ins and stops them after SIGINT or SIGTERM.
func run() error {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	cfg, err := standin.ReadConfig(commandLine.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	set, err := standin.Start(ctx, cfg, logger)
	if err != nil {
		return err
	}
	_ = logger.Log("msg", "ready", "engines", len(set.Engines), "servers", len(set.Servers))
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.Background(), commandLine.Grace)
	defer cancel()
	set.Stop(grace)
	return nil
}
