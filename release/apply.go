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

// HistoryLength is the number of revisions for which note records and tombstones are
// kept. A note with an older base is refused, because conflicts and repeated notes
// could no longer be detected.
const HistoryLength = 200

// Meta is the information that the accepting node adds to the record of a note.
type Meta struct {
	// Operator is the name of the operator key.
	Operator string
	// At is the wall-clock time of the accepting node. It is informational only.
	At time.Time
}

// Find returns the record of an accepted note with the same ID, or nil. It returns an
// error if that note had different content.
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
// not modified. If the note is already part of current, Apply returns current. Errors
// are NotRun *verdict.Error values; the reason conflict means that an entry has changed
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
	if err := checkReferences(&next, &note, current.Revision); err != nil {
		return current, err
	}
	if _, err := Encode(&next); err != nil {
		return current, err
	}
	return next, nil
}

// Encode returns the stored encoding of a configuration, or an error if it exceeds
// MaxSize.
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

// checkBase returns an error if the base revision of a note is newer than the current
// revision or too old.
func checkBase(current, base fleet.Revision) error {
	var p strictjson.Problems
	p.Reason = verdict.ReasonConflict
	switch {
	case base > current:
		p.Add("base", "revision %d is newer than the current revision %d", base, current)
	case base+HistoryLength < current:
		p.Add("base", "revision %d is more than %d revisions older than the current revision %d",
			base, HistoryLength, current)
	}
	return p.Err()
}

// checkConflicts compares every entry of the note with its last change. A change after
// the note's base is a conflict. An added entry that exists, or a changed or withdrawn
// entry that does not, is a mistake in the note. Conflicts take precedence.
func checkConflicts(current *fleet.Configuration, note *Note) error {
	changed := lastChanges(current)
	var conflicts, mistakes strictjson.Problems
	conflicts.Reason = verdict.ReasonConflict
	for _, ref := range note.entryRefs() {
		last, known := changed[ref.entry]
		exists := known && !last.withdrawn
		switch {
		case known && last.revision > note.Base:
			conflicts.Add(ref.path, "conflict: %s was %s in revision %d, after base %d",
				ref.entry, last.verb(), last.revision, note.Base)
		case ref.op == OperationAdd && exists:
			mistakes.Add(ref.path, "%s exists already", ref.entry)
		case ref.op != OperationAdd && !exists:
			mistakes.Add(ref.path, "%s does not exist", ref.entry)
		}
	}
	if err := conflicts.Err(); err != nil {
		return err
	}
	return mistakes.Err()
}

// lastChange is the last accepted change of one entry.
type lastChange struct {
	revision  fleet.Revision
	withdrawn bool
}

// verb returns the participle that describes the change in messages.
func (l lastChange) verb() string {
	if l.withdrawn {
		return "withdrawn"
	}
	return "changed"
}

// lastChanges returns the last change of every entry and tombstone, by entry name.
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
	named := make(map[string]bool)
	for _, ref := range note.entryRefs() {
		named[ref.entry] = true
	}
	next := fleet.Configuration{Revision: revision}
	next.Services = mergeKind(kindServices, current.Services, note.Added.Services, note.Changed.Services, named,
		func(s *fleet.Service) string { return s.Name },
		func(s *fleet.Service) { s.Changed = revision })
	next.Organisations = mergeKind(kindOrganisations, current.Organisations, note.Added.Organisations, note.Changed.Organisations, named,
		func(o *fleet.Organisation) string { return o.Name },
		func(o *fleet.Organisation) { o.Changed = revision })
	next.Groups = mergeKind(kindGroups, current.Groups, note.Added.Groups, note.Changed.Groups, named,
		func(g *fleet.Group) string { return g.Name },
		func(g *fleet.Group) { g.Changed = revision })
	next.Withdrawn = mergeTombstones(current, note, named, revision)
	next.Notes = mergeRecords(current, note, meta, revision)
	return next
}

// mergeKind returns the entries of one kind in the next configuration, sorted by name:
// the old ones that the note does not name, and those that it adds or changes.
func mergeKind[T any](kind string, old, added, changed []T, named map[string]bool, name func(*T) string, setChanged func(*T)) []T {
	merged := make([]T, 0, len(old)+len(added))
	for i := range old {
		if !named[entryName(kind, name(&old[i]))] {
			merged = append(merged, old[i])
		}
	}
	for _, list := range [][]T{added, changed} {
		for _, entry := range list {
			setChanged(&entry)
			merged = append(merged, entry)
		}
	}
	slices.SortFunc(merged, func(a, b T) int { return strings.Compare(name(&a), name(&b)) })
	return merged
}

// mergeTombstones returns the tombstones of the next configuration: the old ones that
// the note does not name and that are within HistoryLength, and those of the entries
// that the note withdraws.
func mergeTombstones(current *fleet.Configuration, note *Note, named map[string]bool, revision fleet.Revision) []fleet.Tombstone {
	var kept []fleet.Tombstone
	for _, t := range current.Withdrawn {
		if !named[t.Entry] && t.Changed+HistoryLength > revision {
			kept = append(kept, t)
		}
	}
	note.Withdrawn.each(func(kind string, _ int, name string) {
		kept = append(kept, fleet.Tombstone{Entry: entryName(kind, name), Changed: revision})
	})
	return kept
}

// mergeRecords appends the record of the note and drops the oldest records beyond
// HistoryLength.
func mergeRecords(current *fleet.Configuration, note *Note, meta Meta, revision fleet.Revision) []fleet.NoteRecord {
	old := current.Notes
	if len(old) >= HistoryLength {
		old = old[len(old)-HistoryLength+1:]
	}
	return append(slices.Clone(old), fleet.NoteRecord{
		ID: note.ID, Revision: revision, ContentHash: note.ContentHash(),
		Operator: meta.Operator, Reason: note.Reason, AcceptedAt: meta.At.UTC().Format(time.RFC3339),
	})
}
