package standin

import (
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/object"
)

// EventKind determines which fields of an Event are set.
type EventKind string

// Kinds of events.
const (
	// EventRole is a change of an engine's role or state.
	EventRole EventKind = "role"
	// EventArrive is a completion request that reached the engine, before any
	// delay, freeze or refusal. Its record has no Begun time.
	EventArrive EventKind = "arrive"
	// EventBegin is a completion request that the engine admitted.
	EventBegin EventKind = "begin"
	// EventEnd is the end of an admitted completion request.
	EventEnd EventKind = "end"
	// EventStep is a collective step in which an engine took part as a member.
	EventStep EventKind = "step"
	// EventCall is a call that a plain server ran.
	EventCall EventKind = "call"
	// EventWrite is an effective write of an object.
	EventWrite EventKind = "write"
	// EventFault is an injected fault that changed a response.
	EventFault EventKind = "fault"
	// EventRefuse is a completion request that an engine refused without running it.
	EventRefuse EventKind = "refuse"
	// EventList is a change of the visible instance list.
	EventList EventKind = "list"
)

// Event is one line of the events file. Each event is written when it happens, so
// that the file is complete even if the process is killed.
type Event struct {
	At       time.Time      `json:"at"`
	Kind     EventKind      `json:"kind"`
	Instance string         `json:"instance,omitempty"`
	Role     *RoleChange    `json:"role,omitempty"`
	Request  *RequestRecord `json:"request,omitempty"`
	Step     *StepRecord    `json:"step,omitempty"`
	Call     *CallRecord    `json:"call,omitempty"`
	Write    *WriteRecord   `json:"write,omitempty"`
	// Fault names the fault that changed the response to Attempt (EventFault), or
	// the reason of its refusal (EventRefuse).
	Fault   string `json:"fault,omitempty"`
	Attempt string `json:"attempt,omitempty"`
	// Leaving holds the IDs of the instances that the visible list shows as leaving
	// (EventList).
	Leaving []string `json:"leaving,omitempty"`
}

// WriteRecord is an effective write of an object.
type WriteRecord struct {
	Key     string          `json:"key"`
	Version object.Version  `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// eventLog appends events to a file. A nil eventLog discards them.
type eventLog struct {
	mu   sync.Mutex
	file *os.File
}

// openEvents opens an events file for appending. It returns nil for an empty path.
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

// add sets the event's time and appends it with a single write call.
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

// addFaults appends one event for each fault that changes the response to attempt.
// A crossed response needs an earlier one, and doubled events need a stream;
// without them these faults have no effect and no event.
func (l *eventLog) addFaults(instance, attempt string, d distortion, other, stream bool) {
	for _, f := range []struct {
		name  string
		holds bool
	}{
		{"cross", d.cross && other}, {"cross-body", d.crossBody && other}, {"double", d.double},
		{"double-events", d.doubleEvents && stream}, {"truncate", d.truncate}, {"lose", d.lose}, {"unframed", d.unframed},
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
