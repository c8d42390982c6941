package claim

import (
	"encoding/json"
	"fmt"
	"time"
)

// MaxPartitionSize is the encoded size above which a partition accepts no new claims, in
// bytes. The rest of the platform's limit of 1 MB is reserved for the responses of
// existing claims.
const MaxPartitionSize = 900_000

// MaxResponseBodySize is the largest response body that is stored for repeats, in bytes.
const MaxResponseBodySize = 4096

// state is the state of a claim.
type state string

const (
	// stateClaimed means that the call may be running.
	stateClaimed state = "claimed"
	// stateAnswered means that the call ran; its response is stored unless too large.
	stateAnswered state = "answered"
	// stateReleased means that the call did not run, so that a repeat may claim the key.
	stateReleased state = "released"
	// stateUnknown means that the call may have run.
	stateUnknown state = "unknown"
)

// entry is a stored claim.
type entry struct {
	// Name identifies the key; see Key.locate.
	Name string `json:"k"`
	// Hash identifies the call that the key was used for.
	Hash  string `json:"b"`
	State state  `json:"s"`
	// Attempt identifies the Begin call that owns the claim.
	Attempt string `json:"a"`
	// CreatedMs is the time of the claim by the wall clock of the node that made it, in
	// Unix milliseconds. It is used only to drop entries after the retention time.
	CreatedMs int64     `json:"t"`
	Response  *Response `json:"r,omitempty"`
}

// partition is the decoded value of a partition object. Its entries are keyed by name.
type partition struct {
	entries map[string]entry
}

// storedPartition is the JSON form of a partition.
type storedPartition struct {
	Entries []entry `json:"entries"`
}

// decodePartition decodes the value of a partition object. Empty data is an empty
// partition.
func decodePartition(data []byte) (*partition, error) {
	p := &partition{entries: make(map[string]entry)}
	if len(data) == 0 {
		return p, nil
	}
	var stored storedPartition
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("decode claim partition of %d bytes: %w", len(data), err)
	}
	for _, e := range stored.Entries {
		p.entries[e.Name] = e
	}
	return p, nil
}

// encode drops the entries that are older than retention and returns the JSON form of
// the others.
func (p *partition) encode(now time.Time, retention time.Duration) ([]byte, error) {
	oldest := now.Add(-retention).UnixMilli()
	stored := storedPartition{Entries: make([]entry, 0, len(p.entries))}
	for name, e := range p.entries {
		if e.CreatedMs < oldest {
			delete(p.entries, name)
			continue
		}
		stored.Entries = append(stored.Entries, e)
	}
	return json.Marshal(stored)
}

// clone returns a copy of p that can be changed independently.
func (p *partition) clone() *partition {
	c := &partition{entries: make(map[string]entry, len(p.entries))}
	for name, e := range p.entries {
		c.entries[name] = e
	}
	return c
}
