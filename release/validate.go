package release

import (
	"fmt"
	"path"
	"regexp"
	"strings"
	"time"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/internal/strictjson"
)

// Limits of the fields of a note.
const (
	// maxGroupSize is the maximum number of instances in a group.
	maxGroupSize    = 64
	maxReasonBytes  = 500
	maxPriority     = 100
	maxTokensPerSec = 1e9
	maxWeight       = 1000
	// maxKeys is the maximum number of keys of an organisation.
	maxKeys = 16
	// maxPatterns is the maximum number of call patterns of a service.
	maxPatterns     = 64
	maxPatternBytes = 256
)

var (
	// versionPattern matches the version of a model service.
	versionPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	// callPattern matches a call pattern, such as "POST /deposits".
	callPattern = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE|OPTIONS) (/[A-Za-z0-9._~/-]*)$`)
)

// Validate checks everything that does not depend on the current configuration: the
// format and range of each field, and that no entry occurs twice.
func (n *Note) Validate() error {
	var p strictjson.Problems
	p.CheckName("id", n.ID)
	if len(n.Reason) > maxReasonBytes {
		p.Add("reason", "must have at most %d bytes", maxReasonBytes)
	}
	refs := n.entryRefs()
	if len(refs) == 0 {
		p.Add("", "the note names no entry")
	}
	firstPath := make(map[string]string, len(refs))
	for _, ref := range refs {
		if other, repeated := firstPath[ref.entry]; repeated {
			p.Add(ref.path, "%s stands in the note twice, first at %s", ref.entry, other)
			continue
		}
		firstPath[ref.entry] = ref.path
	}
	checkEntries(&p, string(OperationAdd), &n.Added)
	checkEntries(&p, string(OperationChange), &n.Changed)
	checkNames(&p, n.Withdrawn)
	return p.Err()
}

// entryRefs returns references to all entries of the note.
func (n *Note) entryRefs() []entryRef {
	var all []entryRef
	add := func(op Operation, kind string, i int, name string) {
		all = append(all, entryRef{entryName(kind, name), fmt.Sprintf("%s.%s[%d]", op, kind, i), op})
	}
	for _, part := range []struct {
		op      Operation
		entries *Entries
	}{{OperationAdd, &n.Added}, {OperationChange, &n.Changed}} {
		for i := range part.entries.Services {
			add(part.op, kindServices, i, part.entries.Services[i].Name)
		}
		for i := range part.entries.Organisations {
			add(part.op, kindOrganisations, i, part.entries.Organisations[i].Name)
		}
		for i := range part.entries.Groups {
			add(part.op, kindGroups, i, part.entries.Groups[i].Name)
		}
	}
	n.Withdrawn.each(func(kind string, i int, name string) { add(OperationWithdraw, kind, i, name) })
	return all
}

// each calls f for every name, with its kind and its index among the names of that kind.
func (n *Names) each(f func(kind string, i int, name string)) {
	for i, name := range n.Services {
		f(kindServices, i, name)
	}
	for i, name := range n.Organisations {
		f(kindOrganisations, i, name)
	}
	for i, name := range n.Groups {
		f(kindGroups, i, name)
	}
}

// checkNames checks the names of the entries that a note withdraws.
func checkNames(p *strictjson.Problems, names Names) {
	names.each(func(kind string, i int, name string) {
		p.CheckName(fmt.Sprintf("%s.%s[%d]", OperationWithdraw, kind, i), name)
	})
}

// checkEntries checks the entries that a note adds or changes.
func checkEntries(p *strictjson.Problems, op string, e *Entries) {
	for i := range e.Services {
		checkService(p, fmt.Sprintf("%s.%s[%d]", op, kindServices, i), &e.Services[i])
	}
	for i := range e.Organisations {
		checkOrganisation(p, fmt.Sprintf("%s.%s[%d]", op, kindOrganisations, i), &e.Organisations[i])
	}
	for i := range e.Groups {
		checkGroup(p, fmt.Sprintf("%s.%s[%d]", op, kindGroups, i), &e.Groups[i])
	}
}

// checkChangedUnset checks that an entry does not set the revision of its last change.
func checkChangedUnset(p *strictjson.Problems, field string, changed fleet.Revision) {
	if changed != 0 {
		p.Add(field+".changed", "is set by the system")
	}
}

// checkService checks the fields of a service.
func checkService(p *strictjson.Problems, field string, s *fleet.Service) {
	p.CheckName(field+".name", s.Name)
	p.CheckName(field+".pool", s.Pool)
	checkChangedUnset(p, field, s.Changed)
	p.CheckRange(field+".timeoutMs", float64(s.TimeoutMs), 0, float64(fleet.MaxTimeout/time.Millisecond))
	p.CheckRange(field+".priority", float64(s.Priority), 0, maxPriority)
	switch s.Kind {
	case fleet.KindModel:
		if !versionPattern.MatchString(s.Version) {
			p.Add(field+".version", "must match %s", versionPattern)
		}
		if len(s.NonIdempotent) > 0 {
			p.Add(field+".nonIdempotent", "is for plain services only")
		}
	case fleet.KindPlain:
		if s.Version != "" {
			p.Add(field+".version", "is for model services only")
		}
		checkCallPatterns(p, field+".nonIdempotent", s.NonIdempotent)
	default:
		p.Add(field+".kind", "must be %q or %q", fleet.KindModel, fleet.KindPlain)
	}
}

// checkCallPatterns checks the call patterns of a service. It refuses prefixes such as
// "/a/../b", because requests are matched by their clean path, so such a pattern would
// match nothing.
func checkCallPatterns(p *strictjson.Problems, field string, calls []string) {
	if len(calls) > maxPatterns {
		p.Add(field, "must have at most %d patterns", maxPatterns)
		return
	}
	seen := make(map[string]bool, len(calls))
	for i, call := range calls {
		callField := fmt.Sprintf("%s[%d]", field, i)
		parts := callPattern.FindStringSubmatch(call)
		switch {
		case len(call) > maxPatternBytes || parts == nil:
			p.Add(callField, `must have the form "METHOD /prefix"`)
		case path.Clean(parts[2]) != parts[2] && path.Clean(parts[2])+"/" != parts[2]:
			p.Add(callField, "must be a clean path")
		case seen[call]:
			p.Add(callField, "stands twice")
		}
		seen[call] = true
	}
}

// checkOrganisation checks the fields of an organisation.
func checkOrganisation(p *strictjson.Problems, field string, o *fleet.Organisation) {
	p.CheckName(field+".name", o.Name)
	checkChangedUnset(p, field, o.Changed)
	p.CheckRange(field+".tokensPerSecond", o.TokensPerSecond, 0, maxTokensPerSec)
	p.CheckRange(field+".weight", o.Weight, 0, maxWeight)
	p.CheckRange(field+".priority", float64(o.Priority), 0, maxPriority)
	if len(o.KeyHashes) < 1 || len(o.KeyHashes) > maxKeys {
		p.Add(field+".keyHashes", "must have from 1 to %d entries", maxKeys)
	}
	for i, hash := range o.KeyHashes {
		p.CheckHash(fmt.Sprintf("%s.keyHashes[%d]", field, i), hash)
	}
	seen := make(map[string]bool, len(o.Services))
	for i, name := range o.Services {
		at := fmt.Sprintf("%s.services[%d]", field, i)
		p.CheckName(at, name)
		if seen[name] {
			p.Add(at, "stands twice")
		}
		seen[name] = true
	}
}

// checkGroup checks the fields of a group.
func checkGroup(p *strictjson.Problems, field string, g *fleet.Group) {
	p.CheckName(field+".name", g.Name)
	p.CheckName(field+".service", g.Service)
	p.CheckName(field+".fabricDomain", g.FabricDomain)
	checkChangedUnset(p, field, g.Changed)
	p.CheckRange(field+".size", float64(g.Size), 1, maxGroupSize)
}

// splitEntry splits the result of entryName into kind and name.
func splitEntry(entry string) (kind, name string) {
	kind, name, _ = strings.Cut(entry, "/")
	return kind, name
}
