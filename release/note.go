package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/strictjson"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// MaxSize is the largest accepted note and the largest accepted encoding of a
// configuration, in bytes. The platform holds 1,000,000 bytes; the difference
// is kept as room for the note records.
const MaxSize = 900_000

// Note is a release note: a change of the configuration that an operator
// submits. It applies as a whole or not at all.
type Note struct {
	// ID makes the note idempotent.
	ID string `json:"id"`
	// Base is the revision that the operator looked at.
	Base      fleet.Revision `json:"base"`
	Reason    string         `json:"reason,omitempty"`
	Added     Entries        `json:"added"`
	Changed   Entries        `json:"changed"`
	Withdrawn Names          `json:"withdrawn"`
}

// Entries are whole entries of a configuration.
type Entries struct {
	Services      []fleet.Service      `json:"services,omitempty"`
	Organisations []fleet.Organisation `json:"organisations,omitempty"`
	Groups        []fleet.Group        `json:"groups,omitempty"`
}

// Names are names of entries of a configuration.
type Names struct {
	Services      []string `json:"services,omitempty"`
	Organisations []string `json:"organisations,omitempty"`
	Groups        []string `json:"groups,omitempty"`
}

// Parse reads a note strictly. Its errors are NotRun *verdict.Error values that
// name the entry and field, such as "added.groups[2].size", and list every
// problem found.
func Parse(data []byte) (Note, error) {
	var note Note
	if len(data) > MaxSize {
		return note, verdict.New(verdict.NotRun, verdict.ReasonTooLarge,
			"the note has %d bytes, at most %d are accepted", len(data), MaxSize)
	}
	var problems strictjson.Problems
	strictjson.Decode(data, &note, &problems)
	if err := problems.Err(); err != nil {
		return Note{}, err
	}
	if err := note.Validate(); err != nil {
		return Note{}, err
	}
	return note, nil
}

// ContentHash returns the hex SHA-256 of the note's content. It does not depend
// on the layout of the JSON text that was parsed.
func (n *Note) ContentHash() string {
	data, err := json.Marshal(n)
	if err != nil {
		// Marshal fails only on NaN and infinite numbers, which JSON text cannot
		// hold; such a note equals no other.
		data = []byte(err.Error())
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// touched is one entry that a note names.
type touched struct {
	// entry is "services/<name>", "organisations/<name>" or "groups/<name>".
	entry string
	// field is the entry's path in the note.
	field string
	op    Operation
}

// Operation tells what a note does to an entry.
type Operation string

// Operations of a note.
const (
	OperationAdd      Operation = "added"
	OperationChange   Operation = "changed"
	OperationWithdraw Operation = "withdrawn"
)

// Kinds of entries, as they stand in paths and tombstones.
const (
	kindServices      = "services"
	kindOrganisations = "organisations"
	kindGroups        = "groups"
)

// entryName returns the identity of an entry over all kinds.
func entryName(kind, name string) string { return kind + "/" + name }
