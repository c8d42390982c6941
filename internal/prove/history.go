package prove

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/standin"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// OperationKind says what a client did.
type OperationKind string

// Kinds of operations.
const (
	OpCompletion OperationKind = "completion"
	OpCall       OperationKind = "call"
	OpNote       OperationKind = "note"
)

// Operation is one request of a caller or operator with its outcome. Times are
// the recording process's wall clock; all processes run on one machine.
type Operation struct {
	Kind         OperationKind `json:"kind"`
	Client       int           `json:"client"`
	Organisation string        `json:"organisation,omitempty"`
	// Node is the address that was asked.
	Node  string    `json:"node,omitempty"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
	// OK tells that a whole answer was delivered.
	OK bool `json:"ok"`
	// Verdict and Reason are those of the error when OK is false.
	Verdict verdict.Verdict `json:"verdict,omitempty"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Error   string          `json:"error,omitempty"`
	// Prompt, MaxTokens and Text belong to completions. Text is what was
	// delivered, also before an error.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	Text      string `json:"text,omitempty"`
	// Key, Body and Answer belong to calls.
	Key    string `json:"key,omitempty"`
	Body   string `json:"body,omitempty"`
	Answer string `json:"answer,omitempty"`
	// Note, Base and Revision belong to release notes.
	Note     string         `json:"note,omitempty"`
	Base     fleet.Revision `json:"base,omitempty"`
	Revision fleet.Revision `json:"revision,omitempty"`
	Entries  []string       `json:"entries,omitempty"`
}

// Fault is something that was broken for a time.
type Fault struct {
	Kind   string    `json:"kind"`
	Target string    `json:"target"`
	From   time.Time `json:"from"`
	// To is zero while the fault lasts.
	To time.Time `json:"to"`
}

// Stop is the end of a planned stop.
type Stop struct {
	Kind   string    `json:"kind"`
	Target string    `json:"target"`
	At     time.Time `json:"at"`
	// Clean tells that the process ended by itself with exit code 0.
	Clean bool `json:"clean"`
}

// Injection is a command that the harness sent to an engine in place of an old
// holder.
type Injection struct {
	At       time.Time   `json:"at"`
	Instance string      `json:"instance"`
	Order    fleet.Order `json:"order"`
}

// Observation is what one node said about itself.
type Observation struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	// Boot changes with each start of the node.
	Boot     int            `json:"boot"`
	Revision fleet.Revision `json:"revision"`
	Serving  bool           `json:"serving"`
}

// History is everything that was recorded in a run.
type History struct {
	Operations   []Operation     `json:"operations"`
	Faults       []Fault         `json:"faults"`
	Observations []Observation   `json:"observations"`
	Stops        []Stop          `json:"stops"`
	Injections   []Injection     `json:"injections,omitempty"`
	Events       []standin.Event `json:"-"`
}

// Recorder collects a History from concurrent clients.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// Operation adds a finished operation.
func (r *Recorder) Operation(o Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Operations = append(r.history.Operations, o)
}

// Observe adds an observation.
func (r *Recorder) Observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Observations = append(r.history.Observations, o)
}

// Stop adds a finished planned stop.
func (r *Recorder) Stop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Stops = append(r.history.Stops, s)
}

// Inject adds a command that the harness sent.
func (r *Recorder) Inject(i Injection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Injections = append(r.history.Injections, i)
}

// Fault starts a fault and returns the function that ends it.
func (r *Recorder) Fault(kind, target string) func() {
	r.mu.Lock()
	defer r.mu.Unlock()
	index := len(r.history.Faults)
	r.history.Faults = append(r.history.Faults, Fault{Kind: kind, Target: target, From: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.history.Faults[index].To = time.Now()
	}
}

// History returns a copy of what was recorded, with the stand-ins' events.
func (r *Recorder) History(events []standin.Event) *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &History{
		Operations:   slices.Clone(r.history.Operations),
		Faults:       slices.Clone(r.history.Faults),
		Observations: slices.Clone(r.history.Observations),
		Stops:        slices.Clone(r.history.Stops),
		Injections:   slices.Clone(r.history.Injections),
		Events:       events,
	}
}

// ReadEvents reads the stand-ins' events files and sorts the events by time. A
// last line cut off by the death of its process is dropped.
func ReadEvents(files ...string) ([]standin.Event, error) {
	var events []standin.Event
	for _, file := range files {
		data, err := os.ReadFile(file)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, err
		}
		scanner := bufio.NewScanner(bytes.NewReader(data))
		scanner.Buffer(nil, 4<<20)
		for scanner.Scan() {
			var e standin.Event
			if json.Unmarshal(scanner.Bytes(), &e) == nil {
				events = append(events, e)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, err
		}
	}
	slices.SortStableFunc(events, func(a, b standin.Event) int { return a.At.Compare(b.At) })
	return events, nil
}

// Save writes the history as JSON lines: first the recorded part, then one line
// an event.
func (h *History) Save(file string) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	defer out.Close()
	buffered := bufio.NewWriter(out)
	encoder := json.NewEncoder(buffered)
	if err := encoder.Encode(h); err != nil {
		return err
	}
	for i := range h.Events {
		if err := encoder.Encode(&h.Events[i]); err != nil {
			return err
		}
	}
	return buffered.Flush()
}
