package claim

import (
	"encoding/json"
	"fmt"
	"time"
)

// MaxPartitionSize is the encoded size above which a partition takes no new
// claims, in bytes. The rest of the platform's 1 MB is kept for the answers of
// claims that were already made.
const MaxPartitionSize = 900_000

// MaxAnswerSize is the largest answer body that is kept for repeats, in bytes.
const MaxAnswerSize = 4096

// state is the state of a claim.
type state string

const (
	stateClaimed  state = "claimed"
	stateAnswered state = "answered"
	stateReleased state = "released"
	stateUnknown  state = "unknown"
)

// entry is a stored claim.
type entry struct {
	Name string `json:"k"`
	// Hash identifies the call that the key was used for.
	Hash  string `json:"b"`
	State state  `json:"s"`
	// Attempt is the identity of the Begin call that owns the claim.
	Attempt string `json:"a"`
	// CreatedMs is the claiming node's wall clock, in Unix milliseconds. It is
	// used only to drop entries after the retention.
	CreatedMs int64   `json:"t"`
	Answer    *Answer `json:"r,omitempty"`
}

// partition is the decoded value of a partition object.
type partition struct {
	entries map[string]entry
}

// storedPartition is the wire form of a partition.
type storedPartition struct {
	Entries []entry `json:"entries"`
}

// decodePartition reads a partition object; empty data is an empty partition.
func decodePartition(data []byte) (*partition, error) {
	p := &partition{entries: make(map[string]entry)}
	if len(data) == 0 {
		return p, nil
	}
	var stored storedPartition
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, fmt.Errorf("claim partition: %w", err)
	}
	for _, e := range stored.Entries {
		p.entries[e.Name] = e
	}
	return p, nil
}

// encode returns the wire form without entries older than retention.
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

// clone returns a copy that can be changed without changing p.
func (p *partition) clone() *partition {
	c := &partition{entries: make(map[string]entry, len(p.entries))}
	for name, e := range p.entries {
		c.entries[name] = e
	}
	return c
}
