package release

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/strictjson"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// History is the number of revisions for which note records and tombstones are
// kept. A note with an older base is refused, because conflicts and repeats
// could no longer be seen.
const History = 200

// Meta is what the accepting node adds to a note.
type Meta struct {
	// Operator is the name of the operator key.
	Operator string
	// At is the wall clock of the accepting node, for people only.
	At time.Time
}

// Find returns the record of an accepted note with the same identity, or nil.
// It is an error when that note had different content.
func Find(current *fleet.Configuration, note *Note) (*fleet.NoteRecord, error) {
	for i := range current.Notes {
		record := &current.Notes[i]
		if record.ID != note.ID {
			continue
		}
		if record.ContentHash != note.ContentHash() {
			e := verdict.New(verdict.NotRun, verdict.ReasonKeyReused,
				"another note with this identity was accepted as revision %d", record.Revision)
			e.Field = "id"
			return nil, e
		}
		return record, nil
	}
	return nil, nil
}

// Apply merges note into current and returns the next configuration. current is
// not modified. A note that is already part of current returns current. Errors
// are NotRun *verdict.Error values; reason conflict means that an entry changed
// since the note's base.
func Apply(current fleet.Configuration, note Note, meta Meta) (fleet.Configuration, error) {
	if record, err := Find(&current, &note); err != nil || record != nil {
		return current, err
	}
	if err := note.Validate(); err != nil {
		return current, err
	}
	if err := checkBase(current.Revision, note.Base); err != nil {
		return current, err
	}
	if err := checkConflicts(&current, &note); err != nil {
		return current, err
	}
	next := merge(&current, &note, meta)
	if err := checkWhole(&next, &note, current.Revision); err != nil {
		return current, err
	}
	if _, err := Encode(&next); err != nil {
		return current, err
	}
	return next, nil
}

// Encode returns the stored form of a configuration. An encoding above MaxSize
// is refused.
func Encode(c *fleet.Configuration) ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonInternal, "encode configuration").WithCause(err)
	}
	if len(data) > MaxSize {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge,
			"the configuration would have %d bytes, at most %d are accepted", len(data), MaxSize)
	}
	return data, nil
}

func checkBase(current, base fleet.Revision) error {
	var p strictjson.Problems
	p.Reason = verdict.ReasonConflict
	switch {
	case base > current:
		p.Add("base", "revision %d is newer than the current revision %d", base, current)
	case base+History < current:
		p.Add("base", "revision %d is more than %d revisions older than the current revision %d",
			base, History, current)
	}
	return p.Err()
}

// checkConflicts compares every entry of the note with its last change. A
// change after the base is a conflict; other mismatches are mistakes.
func checkConflicts(current *fleet.Configuration, note *Note) error {
	changed := lastChanges(current)
	var conflicts, mistakes strictjson.Problems
	conflicts.Reason = verdict.ReasonConflict
	for _, t := range note.entries() {
		last, known := changed[t.entry]
		exists := known && !last.withdrawn
		switch {
		case known && last.revision > note.Base:
			conflicts.Add(t.field, "conflict: %s was %s in revision %d, after base %d",
				t.entry, last.verb(), last.revision, note.Base)
		case t.op == OperationAdd && exists:
			mistakes.Add(t.field, "%s exists already", t.entry)
		case t.op != OperationAdd && !exists:
			mistakes.Add(t.field, "%s does not exist", t.entry)
		}
	}
	if err := conflicts.Err(); err != nil {
		return err
	}
	return mistakes.Err()
}

// lastChange is the last change of one entry.
type lastChange struct {
	revision  fleet.Revision
	withdrawn bool
}

func (l lastChange) verb() string {
	if l.withdrawn {
		return "withdrawn"
	}
	return "changed"
}

func lastChanges(c *fleet.Configuration) map[string]lastChange {
	all := make(map[string]lastChange)
	for _, t := range c.Withdrawn {
		all[t.Entry] = lastChange{t.Changed, true}
	}
	for i := range c.Services {
		all[entryName(kindServices, c.Services[i].Name)] = lastChange{revision: c.Services[i].Changed}
	}
	for i := range c.Organisations {
		all[entryName(kindOrganisations, c.Organisations[i].Name)] = lastChange{revision: c.Organisations[i].Changed}
	}
	for i := range c.Groups {
		all[entryName(kindGroups, c.Groups[i].Name)] = lastChange{revision: c.Groups[i].Changed}
	}
	return all
}

// merge builds the next configuration from entries that passed checkConflicts.
func merge(current *fleet.Configuration, note *Note, meta Meta) fleet.Configuration {
	revision := current.Revision + 1
	gone := make(map[string]bool)
	for _, t := range note.entries() {
		gone[t.entry] = true
	}
	next := fleet.Configuration{Revision: revision}
	next.Services = mergeKind(kindServices, current.Services, note.Added.Services, note.Changed.Services, gone,
		func(s *fleet.Service) string { return s.Name },
		func(s *fleet.Service) { s.Changed = revision })
	next.Organisations = mergeKind(kindOrganisations, current.Organisations, note.Added.Organisations, note.Changed.Organisations, gone,
		func(o *fleet.Organisation) string { return o.Name },
		func(o *fleet.Organisation) { o.Changed = revision })
	next.Groups = mergeKind(kindGroups, current.Groups, note.Added.Groups, note.Changed.Groups, gone,
		func(g *fleet.Group) string { return g.Name },
		func(g *fleet.Group) { g.Changed = revision })
	next.Withdrawn = mergeTombstones(current, note, gone, revision)
	next.Notes = mergeRecords(current, note, meta, revision)
	return next
}

// mergeKind keeps the entries that the note does not name and appends those it
// adds or changes, sorted by name.
func mergeKind[T any](kind string, old, added, changed []T, named map[string]bool, name func(*T) string, mark func(*T)) []T {
	merged := make([]T, 0, len(old)+len(added))
	for i := range old {
		if !named[entryName(kind, name(&old[i]))] {
			merged = append(merged, old[i])
		}
	}
	for _, list := range [][]T{added, changed} {
		for _, entry := range list {
			mark(&entry)
			merged = append(merged, entry)
		}
	}
	slices.SortFunc(merged, func(a, b T) int { return strings.Compare(name(&a), name(&b)) })
	return merged
}

func mergeTombstones(current *fleet.Configuration, note *Note, named map[string]bool, revision fleet.Revision) []fleet.Tombstone {
	var kept []fleet.Tombstone
	for _, t := range current.Withdrawn {
		if !named[t.Entry] && t.Changed+History > revision {
			kept = append(kept, t)
		}
	}
	note.Withdrawn.each(func(kind string, _ int, name string) {
		kept = append(kept, fleet.Tombstone{Entry: entryName(kind, name), Changed: revision})
	})
	return kept
}

func mergeRecords(current *fleet.Configuration, note *Note, meta Meta, revision fleet.Revision) []fleet.NoteRecord {
	old := current.Notes
	if len(old) >= History {
		old = old[len(old)-History+1:]
	}
	return append(slices.Clone(old), fleet.NoteRecord{
		ID: note.ID, Revision: revision, ContentHash: note.ContentHash(),
		Operator: meta.Operator, Reason: note.Reason, AcceptedAt: meta.At.UTC().Format(time.RFC3339),
	})
}
