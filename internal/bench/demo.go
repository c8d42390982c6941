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
	demoTokens      = 24
	demoCompletions = 6
	demoReadyWait   = 100 * time.Millisecond
	// shownBytes is how much of a text the demo prints.
	shownBytes = 60
)

// Demo describes the demonstration against the stand-ins.
type Demo struct {
	// Seeds are callers' addresses of the daemons.
	Seeds []string
	// Servers are the addresses of the plain service's stand-ins.
	Servers      []string
	Organisation string
	Key          string
	Model        string
	Service      string
	Path         string
}

// Run waits until the system serves, sends completions and one call with an
// idempotency key twice, and fails unless every answer is right and the call
// ran once.
func (d Demo) Run(ctx context.Context, out io.Writer) error {
	client := caller.New(caller.Config{Seeds: d.Seeds, Key: d.Key})
	defer client.Close()
	if err := d.await(ctx, client); err != nil {
		return err
	}
	addresses, err := client.Addresses(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "addresses for %s: %s\n", d.Organisation, strings.Join(addresses, ", "))
	if err := d.completions(ctx, client, out); err != nil {
		return err
	}
	return d.callTwice(ctx, client, out)
}

// await repeats a small completion until one succeeds.
func (d Demo) await(ctx context.Context, client *caller.Client) error {
	for {
		_, err := client.Complete(ctx, caller.Completion{Model: d.Model, Prompt: "ready?", MaxTokens: 1}, nil)
		if err == nil {
			return nil
		}
		if !wait.For(ctx, demoReadyWait) {
			return fmt.Errorf("the system did not serve in time: %w", err)
		}
	}
}

// completions sends completions at once, every second one streamed.
func (d Demo) completions(ctx context.Context, client *caller.Client, out io.Writer) error {
	texts := make([]string, demoCompletions)
	group, ctx := errgroup.WithContext(ctx)
	for i := range demoCompletions {
		group.Go(func() error {
			prompt := fmt.Sprintf("Care plan for boarded juniper %d", i)
			text, err := client.Complete(ctx, caller.Completion{
				Model: d.Model, Prompt: prompt, MaxTokens: demoTokens, Stream: i%2 == 0,
			}, nil)
			if err != nil {
				return fmt.Errorf("completion %d: %w", i, err)
			}
			if want := standin.Text(d.Organisation, prompt, 0, demoTokens); text != want {
				return fmt.Errorf("completion %d: wrong answer %q", i, text)
			}
			texts[i] = text
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, text := range texts {
		fmt.Fprintf(out, "completion %d: %d tokens: %.*s...\n", i, demoTokens, shownBytes, text)
	}
	return nil
}

// callTwice makes one non-idempotent call twice with the same key.
func (d Demo) callTwice(ctx context.Context, client *caller.Client, out io.Writer) error {
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
	runs, err := d.countRuns(ctx, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s %s%s, first:  %d %s\n", call.Method, d.Service, d.Path, first.Status, first.Body)
	fmt.Fprintf(out, "%s %s%s, repeat: %d %s (replayed: %t)\n", call.Method, d.Service, d.Path, second.Status, second.Body, second.Replayed())
	fmt.Fprintf(out, "the call ran %d time(s)\n", runs)
	if runs != 1 || string(first.Body) != string(second.Body) {
		return fmt.Errorf("the call ran %d times or its answers differ", runs)
	}
	return nil
}

// countRuns counts the calls with an idempotency key in the servers' records.
func (d Demo) countRuns(ctx context.Context, key string) (int, error) {
	runs := 0
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
				runs++
			}
		}
	}
	return runs, nil
}
