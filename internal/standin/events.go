package standin

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/object"
)

// EventKind says which part of an Event is set.
type EventKind string

// Kinds of events.
const (
	EventRole EventKind = "role"
	// EventArrive is a request for a completion that reached the engine, before
	// any delay, freeze or refusal. Its record has no Begun time.
	EventArrive EventKind = "arrive"
	EventBegin  EventKind = "begin"
	EventEnd    EventKind = "end"
	EventStep   EventKind = "step"
	EventCall   EventKind = "call"
	EventWrite  EventKind = "write"
	// EventFault is a simulated fault that changed an answer, and EventRefuse a
	// request that an engine refused without running it.
	EventFault  EventKind = "fault"
	EventRefuse EventKind = "refuse"
	// EventList is a change of the visible instance list.
	EventList EventKind = "list"
)

// Event is one line of the events file. The file is written as things happen,
// so that it survives the death of the process.
type Event struct {
	At       time.Time      `json:"at"`
	Kind     EventKind      `json:"kind"`
	Instance string         `json:"instance,omitempty"`
	Role     *RoleChange    `json:"role,omitempty"`
	Request  *RequestRecord `json:"request,omitempty"`
	Step     *StepRecord    `json:"step,omitempty"`
	Call     *CallRecord    `json:"call,omitempty"`
	Write    *WriteRecord   `json:"write,omitempty"`
	// Fault names what was done to the answer of Attempt.
	Fault   string `json:"fault,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	// Leaving names the instances that the visible list shows as leaving.
	Leaving []string `json:"leaving,omitempty"`
}

// WriteRecord is an effective write of an object.
type WriteRecord struct {
	Key     string          `json:"key"`
	Version object.Version  `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// eventLog appends events to a file. A nil log drops them.
type eventLog struct {
	mu   sync.Mutex
	file *os.File
}

// openEvents opens an events file for appending; an empty path gives a nil log.
func openEvents(path string) (*eventLog, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &eventLog{file: file}, nil
}

// add writes one event with a single write call.
func (l *eventLog) add(e Event) {
	if l == nil {
		return
	}
	e.At = time.Now()
	line, err := json.Marshal(e)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = l.file.Write(append(line, '\n'))
}

// faults writes one event for each fault that changes the answer of attempt.
// Answers are crossed only when there is another one to cross with.
func (l *eventLog) faults(instance, attempt string, d distortion, other, stream bool) {
	for _, f := range []struct {
		name  string
		holds bool
	}{
		{"cross", d.cross && other}, {"cross-body", d.crossBody && other}, {"double", d.double},
		{"double-events", d.doubleEvents && stream}, {"truncate", d.truncate}, {"lose", d.lose},
	} {
		if f.holds {
			l.add(Event{Kind: EventFault, Instance: instance, Fault: f.name, Attempt: attempt})
		}
	}
}

// close closes the file.
func (l *eventLog) close() {
	if l != nil {
		_ = l.file.Close()
	}
}
