package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/caller"
	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/internal/wait"
)

const (
	// demoMaxTokens is the number of output tokens of each completion.
	demoMaxTokens = 24
	// demoCompletions is the number of concurrent completions.
	demoCompletions = 6
	// demoReadyInterval is the pause between two attempts to get a first response.
	demoReadyInterval = 100 * time.Millisecond
	// maxPrintedBytes limits the printed part of a completion's output.
	maxPrintedBytes = 60
)

// Demo configures the demo, which runs against the stand-ins.
type Demo struct {
	// Seeds are the daemons' addresses for callers.
	Seeds []string
	// Servers are the addresses of the simulated servers of the plain service.
	Servers      []string
	Organisation string
	Key          string
	Model        string
	Service      string
	Path         string
}

// Run waits until the system serves, sends completions, and sends one call with an
// idempotency key twice. It returns an error unless every output is the expected one
// and the call ran exactly once.
func (d Demo) Run(ctx context.Context, out io.Writer) error {
	client := caller.New(caller.Config{Seeds: d.Seeds, Key: d.Key})
	defer client.Close()
	if err := d.waitReady(ctx, client); err != nil {
		return err
	}
	addresses, err := client.Addresses(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "addresses for %s: %s\n", d.Organisation, strings.Join(addresses, ", "))
	if err := d.sendCompletions(ctx, client, out); err != nil {
		return err
	}
	return d.repeatCall(ctx, client, out)
}

// waitReady repeats a small completion until it succeeds.
func (d Demo) waitReady(ctx context.Context, client *caller.Client) error {
	for {
		_, err := client.Complete(ctx, caller.Completion{Model: d.Model, Prompt: "ready?", MaxTokens: 1}, nil)
		if err == nil {
			return nil
		}
		if !wait.For(ctx, demoReadyInterval) {
			return fmt.Errorf("no completion succeeded before the deadline: %w", err)
		}
	}
}

// sendCompletions sends concurrent completions, every second one streamed, and checks
// their outputs.
func (d Demo) sendCompletions(ctx context.Context, client *caller.Client, out io.Writer) error {
	texts := make([]string, demoCompletions)
	group, ctx := errgroup.WithContext(ctx)
	for i := range demoCompletions {
		group.Go(func() error {
			prompt := fmt.Sprintf("Care plan for boarded juniper %d", i)
			text, err := client.Complete(ctx, caller.Completion{
				Model: d.Model, Prompt: prompt, MaxTokens: demoMaxTokens, Stream: i%2 == 0,
			}, nil)
			if err != nil {
				return fmt.Errorf("completion %d: %w", i, err)
			}
			if want := standin.Text(d.Organisation, prompt, 0, demoMaxTokens); text != want {
				return fmt.Errorf("completion %d: got output %q, want %q", i, text, want)
			}
			texts[i] = text
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, text := range texts {
		fmt.Fprintf(out, "completion %d: %d tokens: %.*s...\n", i, demoMaxTokens, maxPrintedBytes, text)
	}
	return nil
}

// repeatCall sends one non-idempotent call twice with the same idempotency key, and
// checks that it ran once and that both responses are the same.
func (d Demo) repeatCall(ctx context.Context, client *caller.Client, out io.Writer) error {
	key := fmt.Sprintf("demo-%d", time.Now().UnixNano())
	call := caller.Call{
		Service: d.Service, Method: http.MethodPost, Path: d.Path, IdempotencyKey: key,
		ContentType: "application/json", Body: []byte(`{"owner":"juniper","amount":120}`),
	}
	first, err := client.Do(ctx, call)
	if err != nil {
		return fmt.Errorf("first call: %w", err)
	}
	second, err := client.Do(ctx, call)
	if err != nil {
		return fmt.Errorf("second call: %w", err)
	}
	executions, err := d.countExecutions(ctx, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s%s, first:  %d %s\n", call.Method, d.Service, d.Path, first.Status, first.Body)
	fmt.Fprintf(out, "%s %s%s, repeat: %d %s (replayed: %t)\n", call.Method, d.Service, d.Path, second.Status, second.Body, second.Replayed())
	fmt.Fprintf(out, "the call ran %d time(s)\n", executions)
	if executions != 1 || string(first.Body) != string(second.Body) {
		return fmt.Errorf("the call ran %d times instead of once, or its two responses differ", executions)
	}
	return nil
}

// countExecutions counts the calls with an idempotency key in the servers' records.
func (d Demo) countExecutions(ctx context.Context, key string) (int, error) {
	executions := 0
	for _, address := range d.Servers {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/record", nil)
		if err != nil {
			return 0, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		var record standin.ServerRecord
		err = json.NewDecoder(response.Body).Decode(&record)
		response.Body.Close()
		if err != nil {
			return 0, err
		}
		for i := range record.Calls {
			if record.Calls[i].Key == key {
				executions++
			}
		}
	}
	return executions, nil
}
