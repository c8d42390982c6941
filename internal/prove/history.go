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

// OperationKind is the kind of a client's operation.
type OperationKind string

// Kinds of operations.
const (
	// OpCompletion is a completion by a model.
	OpCompletion OperationKind = "completion"
	// OpCall is a call to a plain service.
	OpCall OperationKind = "call"
	// OpNote is a release note sent by an operator.
	OpNote OperationKind = "note"
)

// Operation is one request of a caller or operator with its outcome. Times come
// from the recording process's wall clock; all processes run on one machine.
type Operation struct {
	Kind         OperationKind `json:"kind"`
	Client       int           `json:"client"`
	Organisation string        `json:"organisation,omitempty"`
	// Node is the address that the request was sent to; empty if the caller
	// library chose it.
	Node  string    `json:"node,omitempty"`
	Start time.Time `json:"start"`
	End   time.Time `json:"end"`
	// OK is true if a complete answer was delivered.
	OK bool `json:"ok"`
	// Verdict, Reason and Error describe the failure if OK is false.
	Verdict verdict.Verdict `json:"verdict,omitempty"`
	Reason  verdict.Reason  `json:"reason,omitempty"`
	Error   string          `json:"error,omitempty"`
	// Prompt, MaxTokens and Text are set for completions. Text is the text that was
	// delivered, including a partial one before an error.
	Prompt    string `json:"prompt,omitempty"`
	MaxTokens int    `json:"maxTokens,omitempty"`
	Text      string `json:"text,omitempty"`
	// Key, Body and Answer are set for calls. Key is the idempotency key.
	Key    string `json:"key,omitempty"`
	Body   string `json:"body,omitempty"`
	Answer string `json:"answer,omitempty"`
	// Note, Base, Revision and Entries are set for release notes: the note's ID, the
	// revision it was based on, the revision it got, and the entries that a refusal
	// names.
	Note     string         `json:"note,omitempty"`
	Base     fleet.Revision `json:"base,omitempty"`
	Revision fleet.Revision `json:"revision,omitempty"`
	Entries  []string       `json:"entries,omitempty"`
}

// Fault is a fault that was injected for a time.
type Fault struct {
	Kind string `json:"kind"`
	// Target names what the fault applied to, such as instance IDs or a node's index.
	Target string    `json:"target"`
	From   time.Time `json:"from"`
	// To is zero while the fault lasts.
	To time.Time `json:"to"`
}

// Stop is a planned stop that has ended.
type Stop struct {
	Kind   string    `json:"kind"`
	Target string    `json:"target"`
	At     time.Time `json:"at"`
	// Clean is true if the stop completed; a stopped process exited by itself with
	// code 0.
	Clean bool `json:"clean"`
}

// Injection is a stale command that the test sent to an engine, as a previous
// lease holder might have done.
type Injection struct {
	At       time.Time     `json:"at"`
	Instance string        `json:"instance"`
	Command  fleet.Command `json:"order"`
}

// Observation is the state that one node reported about itself.
type Observation struct {
	At   time.Time `json:"at"`
	Node string    `json:"node"`
	// Boot changes with each start of the node. No run sets it at present.
	Boot     int            `json:"boot"`
	Revision fleet.Revision `json:"revision"`
	Serving  bool           `json:"serving"`
}

// History is the complete record of a run.
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

// AddOperation records a finished operation.
func (r *Recorder) AddOperation(o Operation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Operations = append(r.history.Operations, o)
}

// AddObservation records an observation.
func (r *Recorder) AddObservation(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Observations = append(r.history.Observations, o)
}

// AddStop records a planned stop that has ended.
func (r *Recorder) AddStop(s Stop) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Stops = append(r.history.Stops, s)
}

// AddInjection records a stale command that the test sent.
func (r *Recorder) AddInjection(i Injection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Injections = append(r.history.Injections, i)
}

// StartFault records the start of a fault and returns a function that records its
// end.
func (r *Recorder) StartFault(kind, target string) func() {
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

// History returns a copy of the record, with the stand-ins' events.
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

// ReadEvents reads the stand-ins' event files and sorts the events by time. It
// skips missing files and lines that are not valid JSON: a killed process may
// leave a truncated last line.
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

// Save writes the history as JSON lines: the recorded part on the first line, then
// one line per event.
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
