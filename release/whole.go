package release

import (
	"fmt"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/strictjson"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// whole checks references between the entries of a merged configuration.
type whole struct {
	next     *fleet.Configuration
	problems strictjson.Problems
	// paths maps entries to their path in the note.
	paths map[string]string
	kinds map[string]fleet.Kind
}

// checkWhole reports every broken reference. When the note's base is older than
// current the cause may be another operator's note, so the reason is conflict.
func checkWhole(next *fleet.Configuration, note *Note, current fleet.Revision) error {
	w := whole{next: next, paths: make(map[string]string), kinds: make(map[string]fleet.Kind)}
	if note.Base < current {
		w.problems.Reason = verdict.ReasonConflict
	}
	for _, t := range note.entries() {
		w.paths[t.entry] = t.field
	}
	for i := range next.Services {
		w.kinds[next.Services[i].Name] = next.Services[i].Kind
	}
	w.checkGroups()
	w.checkOrganisations()
	return w.problems.Err()
}

// path returns where a problem of an entry is reported: in the note if the note
// names the entry, else under the entry's own name.
func (w *whole) path(entry string) string {
	if field, named := w.paths[entry]; named {
		return field
	}
	return entry
}

func (w *whole) checkGroups() {
	for i := range w.next.Groups {
		g := &w.next.Groups[i]
		entry := entryName(kindGroups, g.Name)
		if w.checkService(entry, ".service", g.Service) && w.kinds[g.Service] != fleet.KindModel {
			w.problems.Add(w.path(entry)+".service", "service %s is not of kind model", g.Service)
		}
	}
}

// checkService reports a reference to a service that does not exist. When the
// note withdraws the service, the withdrawal is the refused field.
func (w *whole) checkService(entry, field, service string) bool {
	if _, exists := w.kinds[service]; exists {
		return true
	}
	_, entryNamed := w.paths[entry]
	if withdrawal, named := w.paths[entryName(kindServices, service)]; named && !entryNamed {
		w.problems.Add(withdrawal, "service %s is still used by %s", service, entry)
		return false
	}
	w.problems.Add(w.path(entry)+field, "service %s does not exist", service)
	return false
}

func (w *whole) checkOrganisations() {
	owner := make(map[string]string)
	for i := range w.next.Organisations {
		o := &w.next.Organisations[i]
		entry := entryName(kindOrganisations, o.Name)
		for j, service := range o.Services {
			w.checkService(entry, fmt.Sprintf(".services[%d]", j), service)
		}
		for j, hash := range o.KeyHashes {
			w.checkKey(owner, hash, entry, j)
		}
	}
}

// checkKey refuses a key that two organisations share, because a key decides
// which organisation a caller belongs to.
func (w *whole) checkKey(owner map[string]string, hash, entry string, index int) {
	other, taken := owner[hash]
	if !taken {
		owner[hash] = entry
		return
	}
	if _, named := w.paths[entry]; !named {
		entry, other = other, entry
	}
	field := w.path(entry) + ".keyHashes"
	if other == entry {
		field = fmt.Sprintf("%s[%d]", field, index)
	}
	w.problems.Add(field, "the key is also used by %s", other)
}
