package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minRequestEngines is the number of engines that must have crashed under a request.
	minRequestEngines = 3
	// minRequestEnginesOnceSound replaces minRequestEngines for a request that was sound
	// before: more likely, the engines crashed for another reason.
	minRequestEnginesOnceSound = 5
	// errorsPerCrash is the number of server errors that outweigh one crash: an engine that
	// fails most requests before it runs them may receive one that crashes the others.
	errorsPerCrash = 4
)

// decide returns the quarantine to begin next, or none.
func (k Kind) decide(records map[Part]*record, active [][]Part, expired func(Part) bool, now time.Time) (decision, bool) {
	if k == Requests {
		return decideRequests(records, active, expired)
	}
	return decideParts(records, active, expired, now)
}

// decideRequests returns the request to put in quarantine next, or none. active are the
// requests in quarantine; expired reports whether a request was in quarantine until recently.
//
// It answers load in which a request crashes each engine that runs it and is sent again by
// its caller, beside sound requests at the same engines. A response that was sound has
// removed the earlier strikes of its request. One that is asked for often is at each engine
// that crashes; if servers answer it with errors, these are weighed against the crashes. Crashes of engines under a request in
// quarantine count only against requests with as many crashes. Engines that fail
// together count as one incident, as requests may be repeated by nature.
func decideRequests(records map[Part]*record, active [][]Part, expired func(Part) bool) (decision, bool) {
	blamed := make(map[Part][]uint32, len(active))
	for _, parts := range active {
		blamed[parts[0]] = records[parts[0]].engines(nil)
	}
	var suspects []*record
	for part, r := range records {
		if _, found := blamed[part]; !found && (len(r.strikes) >= minRequestEngines || (len(r.strikes) > 0 && expired(part))) {
			suspects = append(suspects, r)
		}
	}
	slices.SortFunc(suspects, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.strikes), len(a.strikes)), cmp.Compare(a.part, b.part))
	})
	for _, r := range suspects {
		all := r.engines(nil)
		engines := r.engines(func(engine uint32) bool {
			for _, others := range blamed {
				if len(others) > len(all) && slices.Contains(others, engine) {
					return true
				}
			}
			return false
		})
		renewal := expired(r.part)
		if r.errors >= errorsPerCrash*len(engines) {
			continue
		}
		required := minRequestEngines
		if !r.soundAt.IsZero() {
			required = minRequestEnginesOnceSound
		}
		if (renewal && len(engines) > 0) || (len(engines) >= required && r.incidents() >= minIncidents) {
			return decision{parts: []Part{r.part}, crashes: len(engines), prompts: 1, engines: engines, renewal: renewal}, true
		}
	}
	return decision{}, false
}

// engines returns the engines that crashed, in ascending order, except those that explained
// reports; nil reports none.
func (r *record) engines(explained func(engine uint32) bool) (list []uint32) {
	if r == nil {
		return nil
	}
	for _, s := range r.strikes {
		if explained == nil || !explained(s.engine) {
			list = insert(list, s.engine)
		}
	}
	return list
}

// incidents returns the number of times at which the strikes happened. An engine that was
// sent the request after an earlier attempt had failed didn't crash together with that.
func (r *record) incidents() int {
	n := incidents(slices.SortedFunc(slices.Values(r.strikes), func(a, b strike) int { return a.at.Compare(b.at) }))
	for _, s := range r.strikes {
		n = max(n, int(s.depth)+1)
	}
	return n
}
