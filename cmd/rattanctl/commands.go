package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/rattanlanding/rattanlanding/operator"
	"github.com/rattanlanding/rattanlanding/release"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// applyCommand applies a release note.
type applyCommand struct {
	Note string `arg:"" type:"existingfile" help:"Release note file."`
}

// diffCommand shows the changes that a release note would make.
type diffCommand struct {
	Note string `arg:"" type:"existingfile" help:"Release note file."`
}

// statusCommand shows the status of the system.
type statusCommand struct{}

// stateCommand dumps the state of one node.
type stateCommand struct {
	Address string `arg:"" help:"Operators' address of the node."`
}

// historyCommand shows the accepted release notes.
type historyCommand struct{}

// Run applies the note. If the outcome is unknown it sends the note once more, which
// is safe because nodes recognise the note by its ID.
func (c *applyCommand) Run(env *environment) error {
	note, err := readNote(c.Note)
	if err != nil {
		return err
	}
	r := request{method: http.MethodPost, path: "/v1/notes", body: note}
	body, index, err := env.client.do(env.ctx, r, 0)
	if outcomeUnknown(err) {
		fmt.Fprintln(env.errOut, "outcome unknown, repeating the note:", err)
		body, err = env.retry(r, index+1, err)
	}
	if err != nil {
		return err
	}
	var result release.Result
	return env.show(body, &result, func(w io.Writer) {
		if result.Repeated {
			fmt.Fprintf(w, "already accepted as revision %d\n", result.Revision)
			return
		}
		fmt.Fprintf(w, "accepted as revision %d\n", result.Revision)
	})
}

// retry sends the note again after its outcome was unknown. If the retry is rejected
// the outcome stays unknown, since the first attempt's update may still take effect.
func (env *environment) retry(r request, first int, firstErr error) ([]byte, error) {
	body, _, err := env.client.do(env.ctx, r, first)
	if err == nil {
		return body, nil
	}
	e := verdict.New(verdict.MayHaveRun, verdict.ReasonOutcomeUnknown,
		"%s; the repeat failed too: %s", verdict.Of(firstErr).Message, verdict.Of(err).Message)
	return nil, e.WithCause(err)
}

// outcomeUnknown reports whether a request that failed with err may have been executed.
func outcomeUnknown(err error) bool {
	var usage *usageError
	if err == nil || errors.As(err, &usage) {
		return false
	}
	return verdict.Of(err).Verdict != verdict.NotRun
}

// Run shows the changes that the note would make.
func (c *diffCommand) Run(env *environment) error {
	note, err := readNote(c.Note)
	if err != nil {
		return err
	}
	var preview release.Preview
	r := request{method: http.MethodPost, path: "/v1/notes/diff", body: note, readOnly: true}
	return env.call(r, &preview, func(w io.Writer) {
		if preview.Repeated {
			fmt.Fprintf(w, "the note is already part of revision %d\n", preview.Revision)
			return
		}
		fmt.Fprintf(w, "changes to revision %d:\n", preview.Revision)
		for _, change := range preview.Changes {
			fmt.Fprintln(w, " ", change)
		}
	})
}

// Run shows the status.
func (c *statusCommand) Run(env *environment) error {
	var s operator.Status
	r := request{method: http.MethodGet, path: "/v1/status", readOnly: true}
	return env.call(r, &s, func(w io.Writer) { printStatus(w, &s) })
}

// printStatus prints the status as tables.
func printStatus(w io.Writer, s *operator.Status) {
	fmt.Fprintf(w, "node\t%s\t%s\n", s.Node, s.State)
	fmt.Fprintf(w, "revision\t%d\n", s.Revision)
	fmt.Fprintf(w, "confirmation\tserving %t, age %d ms, majority %t, platform behind %t\n",
		s.Confirmation.Serving, s.Confirmation.AgeMs, s.Confirmation.Majority, s.Confirmation.PlatformBehind)
	fmt.Fprintf(w, "shards\t%v\n", s.Shards)
	fmt.Fprintln(w, "\nMEMBER\tFAILURE DOMAIN\tADDRESS\tSTATE\tSILENT MS")
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", m.Node, m.FailureDomain, m.CallerAddress, m.State, m.SilentMs)
	}
	fmt.Fprintln(w, "\nGROUP\tSERVICE\tFABRIC DOMAIN\tPHASE\tGENERATION\tREADY\tHEALTHY")
	for _, g := range s.Groups {
		phase := string(g.Phase)
		if phase == "" {
			phase = "not placed"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d/%d\t%t\n",
			g.Name, g.Service, g.FabricDomain, phase, g.Generation, g.Ready, g.Size, g.Healthy)
	}
}

// addresses returns the address argument, or nil if another command is run.
func (c *stateCommand) addresses() []string {
	if c.Address == "" {
		return nil
	}
	return []string{c.Address}
}

// Run dumps the state of one node as JSON.
func (c *stateCommand) Run(env *environment) error {
	env.client.addresses = c.addresses()
	env.json = true
	r := request{method: http.MethodGet, path: "/debug/state", readOnly: true}
	var state json.RawMessage
	return env.call(r, &state, nil)
}

// Run shows the history.
func (c *historyCommand) Run(env *environment) error {
	var h operator.History
	r := request{method: http.MethodGet, path: "/v1/history", readOnly: true}
	return env.call(r, &h, func(w io.Writer) {
		fmt.Fprintln(w, "REVISION\tNOTE\tOPERATOR\tACCEPTED AT\tREASON")
		for _, n := range h.Notes {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", n.Revision, n.ID, n.Operator, n.AcceptedAt, n.Reason)
		}
	})
}

// readNote reads and checks a note file, so that an invalid note isn't sent.
func readNote(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, release.MaxSize+1))
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	if _, err := release.Parse(data); err != nil {
		return nil, err
	}
	return data, nil
}

// call sends a request and prints the response.
func (env *environment) call(r request, target any, printText func(io.Writer)) error {
	body, _, err := env.client.do(env.ctx, r, 0)
	if err != nil {
		return err
	}
	return env.show(body, target, printText)
}

// show decodes a response body into target and prints it as JSON, or as aligned text
// by means of printText.
func (env *environment) show(body []byte, target any, printText func(io.Writer)) error {
	if err := json.Unmarshal(body, target); err != nil {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonWrongAnswer, "the answer is not JSON").WithCause(err)
	}
	if env.json {
		printJSON(env.out, target)
		return nil
	}
	w := tabwriter.NewWriter(env.out, 0, 0, 2, ' ', 0)
	printText(w)
	return w.Flush()
}

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	// A write error on standard output can't be reported anywhere else.
	_ = encoder.Encode(value)
}
