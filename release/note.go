package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/strictjson"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// MaxSize is the size limit of a note and of an encoded configuration, in bytes. The
// platform accepts objects of 1,000,000 bytes; the difference is reserved for the note
// records.
const MaxSize = 900_000

// Note is a release note: a change of the configuration that an operator
// submits. It applies as a whole or not at all.
type Note struct {
	// ID identifies the note. A note that is submitted again with the same ID is applied
	// only once.
	ID string `json:"id"`
	// Base is the configuration revision on which the operator based the note.
	Base fleet.Revision `json:"base"`
	// Reason is an explanation for other operators.
	Reason    string  `json:"reason,omitempty"`
	Added     Entries `json:"added"`
	Changed   Entries `json:"changed"`
	Withdrawn Names   `json:"withdrawn"`
}

// Entries are complete entries of a configuration.
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

// Parse decodes and validates a note. Unknown and repeated fields are refused. Errors
// are NotRun *verdict.Error values that list all problems with the path of the field,
// such as "added.groups[2].size".
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

// ContentHash returns the SHA-256 hash of the note's content in hexadecimal. It does not
// depend on the formatting of the JSON text that was parsed.
func (n *Note) ContentHash() string {
	data, err := json.Marshal(n)
	if err != nil {
		// Marshal only fails for NaN and infinite numbers, which JSON text cannot
		// contain, so no parsed note has the hash of such a note.
		data = []byte(err.Error())
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// entryRef refers to one entry that a note adds, changes or withdraws.
type entryRef struct {
	// entry is "services/<name>", "organisations/<name>" or "groups/<name>".
	entry string
	// path is the entry's path in the note.
	path string
	op   Operation
}

// Operation is what a note does to an entry.
type Operation string

// Operations of a note.
const (
	OperationAdd      Operation = "added"
	OperationChange   Operation = "changed"
	OperationWithdraw Operation = "withdrawn"
)

// Kinds of entries, as used in paths and tombstones.
const (
	kindServices      = "services"
	kindOrganisations = "organisations"
	kindGroups        = "groups"
)

// entryName returns the name of an entry that is unique across all kinds.
func entryName(kind, name string) string { return kind + "/" + name }
