package release

import (
	"fmt"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/strictjson"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// referenceChecker checks references between the entries of a merged configuration.
type referenceChecker struct {
	next     *fleet.Configuration
	problems strictjson.Problems
	// paths maps the names of entries to their paths in the note.
	paths map[string]string
	// kinds maps the names of services to their kinds.
	kinds map[string]fleet.Kind
}

// checkReferences returns an error that lists all broken references. If the note's base
// is older than the current revision, another operator's note may be the cause, so the
// reason is conflict.
func checkReferences(next *fleet.Configuration, note *Note, current fleet.Revision) error {
	c := referenceChecker{next: next, paths: make(map[string]string), kinds: make(map[string]fleet.Kind)}
	if note.Base < current {
		c.problems.Reason = verdict.ReasonConflict
	}
	for _, ref := range note.entryRefs() {
		c.paths[ref.entry] = ref.path
	}
	for i := range next.Services {
		c.kinds[next.Services[i].Name] = next.Services[i].Kind
	}
	c.checkGroups()
	c.checkOrganisations()
	return c.problems.Err()
}

// path returns the field for which a problem of an entry is reported: the path in the
// note if the note contains the entry, otherwise the name of the entry.
func (c *referenceChecker) path(entry string) string {
	if field, named := c.paths[entry]; named {
		return field
	}
	return entry
}

// checkGroups checks that the services of all groups exist and are model services.
func (c *referenceChecker) checkGroups() {
	for i := range c.next.Groups {
		g := &c.next.Groups[i]
		entry := entryName(kindGroups, g.Name)
		if c.checkService(entry, ".service", g.Service) && c.kinds[g.Service] != fleet.KindModel {
			c.problems.Add(c.path(entry)+".service", "service %s is not of kind model", g.Service)
		}
	}
}

// checkService adds a problem and returns false if an entry refers to a service that
// does not exist. If the note withdraws that service but does not contain the entry, the
// problem is reported for the withdrawal.
func (c *referenceChecker) checkService(entry, field, service string) bool {
	if _, exists := c.kinds[service]; exists {
		return true
	}
	_, entryNamed := c.paths[entry]
	if withdrawal, named := c.paths[entryName(kindServices, service)]; named && !entryNamed {
		c.problems.Add(withdrawal, "service %s is still used by %s", service, entry)
		return false
	}
	c.problems.Add(c.path(entry)+field, "service %s does not exist", service)
	return false
}

// checkOrganisations checks the services and keys of all organisations.
func (c *referenceChecker) checkOrganisations() {
	owner := make(map[string]string)
	for i := range c.next.Organisations {
		o := &c.next.Organisations[i]
		entry := entryName(kindOrganisations, o.Name)
		for j, service := range o.Services {
			c.checkService(entry, fmt.Sprintf(".services[%d]", j), service)
		}
		for j, hash := range o.KeyHashes {
			c.checkKey(owner, hash, entry, j)
		}
	}
}

// checkKey adds a problem if another organisation has the same key, because the key
// determines the organisation of a caller.
func (c *referenceChecker) checkKey(owner map[string]string, hash, entry string, index int) {
	other, taken := owner[hash]
	if !taken {
		owner[hash] = entry
		return
	}
	if _, named := c.paths[entry]; !named {
		entry, other = other, entry
	}
	field := c.path(entry) + ".keyHashes"
	if other == entry {
		field = fmt.Sprintf("%s[%d]", field, index)
	}
	c.problems.Add(field, "the key is also used by %s", other)
}
