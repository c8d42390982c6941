package prove

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/verdict"
)

// ConfigurationBound is the time within which an accepted note is in force on
// every node that serves.
const ConfigurationBound = 12 * time.Second

// firstRevision is the revision of the set-up, which is not an operation.
const firstRevision = fleet.Revision(1)

// CheckConfiguration checks that accepted notes are in force in time on every
// node that serves, that no node goes back, and that racing operators have one
// winner.
func CheckConfiguration(h *History) Result {
	r := Result{Bound: ConfigurationBound, Faults: len(h.Faults)}
	accepted := acceptedRevisions(h, &r)
	checkNotes(h, accepted, &r)
	checkNeverBack(h, &r)
	checkInForce(h, accepted, &r)
	checkConflicts(h, &r)
	if !porcupine.CheckOperations(configurationModel, configurationOperations(h)) {
		r.Fail("the history of release notes is not linearizable")
	}
	r.RequireActivity()
	return r
}

// checkNotes counts the notes. A revision that was told to two different notes
// or that the platform never held is a violation.
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
			r.Fail("revision %d was given to notes %s and %s", o.Revision, other, o.Note)
		}
		notes[o.Revision] = o.Note
		if _, known := accepted[o.Revision]; !known {
			r.Fail("revision %d of note %s is not in the platform's record", o.Revision, o.Note)
		}
	}
}

// acceptedRevisions returns when each revision took effect at the platform. The
// writes must step by one.
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
			r.Fail("version %d of the configuration is not readable: %v", write.Version, err)
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

// checkNeverBack finds a node that shows an older revision than before. A
// restarted process must not serve an older one either.
func checkNeverBack(h *History, r *Result) {
	newest := map[string]fleet.Revision{}
	for _, o := range sortedObservations(h) {
		if !o.Serving {
			continue
		}
		if o.Revision < newest[o.Node] {
			r.Fail("%s served with revision %d after %d", o.Node, o.Revision, newest[o.Node])
		}
		newest[o.Node] = max(newest[o.Node], o.Revision)
	}
}

// checkInForce finds nodes that serve with an older revision later than the
// bound after a newer one was accepted.
func checkInForce(h *History, accepted map[fleet.Revision]time.Time, r *Result) {
	for _, o := range h.Observations {
		if !o.Serving {
			continue
		}
		for revision, at := range accepted {
			if o.Revision >= revision || !o.At.After(at) {
				continue
			}
			r.Late(o.At.Sub(at), "%s served with revision %d although %d was accepted", o.Node, o.Revision, revision)
		}
	}
}

// checkConflicts finds operators who lost a race and were not told which entry.
func checkConflicts(h *History, r *Result) {
	for _, o := range h.Operations {
		if o.Kind == OpNote && !o.OK && o.Reason == verdict.ReasonConflict && len(o.Entries) == 0 {
			r.Fail("note %s lost a race and its refusal names no entry", o.Note)
		}
	}
}

// sortedObservations returns the observations by time.
func sortedObservations(h *History) []Observation {
	sorted := slices.Clone(h.Observations)
	slices.SortStableFunc(sorted, func(a, b Observation) int { return a.At.Compare(b.At) })
	return sorted
}

// noteInput and noteOutput are an operation on the configuration, seen as a
// register that holds the newest revision: a note that succeeds moves it from
// its predecessor to its own revision.
type noteInput struct{ note string }

type noteOutput struct {
	revision fleet.Revision
	// unknown tells that the operation may or may not have taken effect.
	unknown bool
}

// configurationModel is a counter of revisions. Each accepted note takes the
// next one; a note whose outcome is unknown may have taken one or none.
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

// configurationOperations converts the notes. A repeat of a note that got its
// revision from an earlier try is left out: it reads and changes nothing. An
// unknown outcome that a later repeat resolved is that repeat's operation, from
// the first try on.
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
		// The write may land at any time after the operator gave up.
		operations = append(operations, porcupine.Operation{
			ClientId: o.Client, Input: noteInput{note}, Call: first[note].UnixNano(),
			Output: noteOutput{unknown: true}, Return: end,
		})
	}
	return operations
}
