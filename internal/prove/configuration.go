package prove

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// ConfigurationBound is the time within which an accepted release note is in force
// on every serving node.
const ConfigurationBound = 12 * time.Second

// firstRevision is the revision created by the cluster's set-up, which is not
// recorded as an operation.
const firstRevision = fleet.Revision(1)

// CheckConfiguration checks that accepted release notes are in force on every
// serving node within the bound, that no node serves with an older revision than
// before, and that no two concurrent notes get the same revision.
func CheckConfiguration(h *History) Result {
	r := Result{Bound: ConfigurationBound, Faults: len(h.Faults)}
	accepted := acceptedRevisions(h, &r)
	checkNotes(h, accepted, &r)
	checkMonotonicRevisions(h, &r)
	checkPropagation(h, accepted, &r)
	checkConflicts(h, &r)
	if !porcupine.CheckOperations(configurationModel, configurationOperations(h)) {
		r.Fail("the history of release notes is not linearizable")
	}
	r.RequireActivity()
	return r
}

// checkNotes counts the notes. It adds a violation if two different notes got the
// same revision, or if a note got a revision that the platform never stored.
func checkNotes(h *History, accepted map[fleet.Revision]time.Time, r *Result) {
	notes := map[fleet.Revision]string{}
	for _, o := range h.Operations {
		if o.Kind != OpNote {
			continue
		}
		r.Operations++
		if !o.OK {
			continue
		}
		if other, taken := notes[o.Revision]; taken && other != o.Note {
			r.Fail("revision %d was returned for the different notes %s and %s", o.Revision, other, o.Note)
		}
		notes[o.Revision] = o.Note
		if _, known := accepted[o.Revision]; !known {
			r.Fail("revision %d of note %s was never stored by the platform", o.Revision, o.Note)
		}
	}
}

// acceptedRevisions returns the time at which each revision was stored by the
// platform. Each write must increase the revision by one.
func acceptedRevisions(h *History, r *Result) map[fleet.Revision]time.Time {
	accepted := map[fleet.Revision]time.Time{}
	last := fleet.Revision(0)
	for i := range h.Events {
		write := h.Events[i].Write
		if write == nil || write.Key != "config/current" {
			continue
		}
		var c fleet.Configuration
		if err := json.Unmarshal(write.Value, &c); err != nil {
			r.Fail("version %d of the configuration can't be decoded: %v", write.Version, err)
			continue
		}
		if c.Revision != last+1 {
			r.Fail("the platform's revision went from %d to %d", last, c.Revision)
		}
		last = c.Revision
		accepted[c.Revision] = h.Events[i].At
	}
	return accepted
}

// checkMonotonicRevisions adds a violation for each node that served with an older
// revision than before, including before a restart.
func checkMonotonicRevisions(h *History, r *Result) {
	newest := map[string]fleet.Revision{}
	for _, o := range sortedObservations(h) {
		if !o.Serving {
			continue
		}
		if o.Revision < newest[o.Node] {
			r.Fail("%s served with revision %d after it had served with revision %d", o.Node, o.Revision, newest[o.Node])
		}
		newest[o.Node] = max(newest[o.Node], o.Revision)
	}
}

// checkPropagation adds a violation for each node that served with an old revision
// for longer than the bound after a newer one was accepted.
func checkPropagation(h *History, accepted map[fleet.Revision]time.Time, r *Result) {
	for _, o := range h.Observations {
		if !o.Serving {
			continue
		}
		for revision, at := range accepted {
			if o.Revision >= revision || !o.At.After(at) {
				continue
			}
			r.CheckBound(o.At.Sub(at), "%s served with revision %d although revision %d was accepted", o.Node, o.Revision, revision)
		}
	}
}

// checkConflicts adds a violation for each note that was refused because of a
// conflict without naming the conflicting entry.
func checkConflicts(h *History, r *Result) {
	for _, o := range h.Operations {
		if o.Kind == OpNote && !o.OK && o.Reason == verdict.ReasonConflict && len(o.Entries) == 0 {
			r.Fail("note %s was refused because of a conflict, but the refusal names no entry", o.Note)
		}
	}
}

// sortedObservations returns the observations sorted by time.
func sortedObservations(h *History) []Observation {
	sorted := slices.Clone(h.Observations)
	slices.SortStableFunc(sorted, func(a, b Observation) int { return a.At.Compare(b.At) })
	return sorted
}

// noteInput is the input of a release note in configurationModel: the note's ID.
type noteInput struct{ note string }

// noteOutput is the outcome of a release note in configurationModel. A note that
// was accepted increases the revision by one, to its own revision.
type noteOutput struct {
	revision fleet.Revision
	// unknown is true if the note may or may not have been accepted.
	unknown bool
}

// configurationModel is a linearizability model of the configuration: a counter
// that holds the newest revision. Each accepted note gets the next revision; a
// note with an unknown outcome may have got one or none.
var configurationModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{firstRevision} },
	Step: func(state, _, output any) []any {
		current, out := state.(fleet.Revision), output.(noteOutput)
		switch {
		case out.unknown:
			return []any{current, current + 1}
		case out.revision == current+1:
			return []any{current + 1}
		default:
			return nil
		}
	},
}).ToModel()

// configurationOperations converts the notes to operations of the model, one per
// note. A retry of a note that an earlier attempt got accepted is left out, since
// it only reads the revision. If the outcome of an attempt was unknown and a later
// retry resolved it, both are one operation that begins with the first attempt.
func configurationOperations(h *History) []porcupine.Operation {
	first := map[string]time.Time{}
	resolved := map[string]Operation{}
	unknown := map[string]Operation{}
	for _, o := range h.Operations {
		if o.Kind != OpNote {
			continue
		}
		if at, seen := first[o.Note]; !seen || o.Start.Before(at) {
			first[o.Note] = o.Start
		}
		if o.OK {
			if earlier, seen := resolved[o.Note]; !seen || o.End.Before(earlier.End) {
				resolved[o.Note] = o
			}
		} else if o.Verdict != verdict.NotRun {
			unknown[o.Note] = o
		}
	}
	var operations []porcupine.Operation
	for note, o := range resolved {
		operations = append(operations, porcupine.Operation{
			ClientId: o.Client, Input: noteInput{note}, Call: first[note].UnixNano(),
			Output: noteOutput{revision: o.Revision}, Return: o.End.UnixNano(),
		})
	}
	end := time.Now().Add(time.Hour).UnixNano()
	for note, o := range unknown {
		if _, known := resolved[note]; known {
			continue
		}
		// The write may take effect at any time after the operator gave up.
		operations = append(operations, porcupine.Operation{
			ClientId: o.Client, Input: noteInput{note}, Call: first[note].UnixNano(),
			Output: noteOutput{unknown: true}, Return: end,
		})
	}
	return operations
}
