package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Conditions of a quarantine.
const (
	// minWeight is the sum of the engines that crashed and of the different requests
	// under which they crashed from which a part is put in quarantine: three engines with
	// three requests, or four with two.
	minWeight = 6
	// minPrompts is the number of different requests from which a part is to blame, and not
	// the only request under which engines crashed.
	minPrompts = 2
	// minWeightOnceSound replaces minWeight for a part that appeared in sound responses
	// before: more likely, another part of the same prompts crashes the engines.
	minWeightOnceSound = 10
	// renewalWeight replaces minWeight after a quarantine has expired: a single crash.
	renewalWeight = 2
	// minIncidents is the number of times at which engines must have crashed. Engines
	// that fail together share no prompt, but may run requests that share a part.
	minIncidents = 2
	// incidentTime is the time within which crashes count as one incident. It exceeds the
	// error of the ages that reach a node through others.
	incidentTime = 600 * time.Millisecond
	// settleTime is the time from the first crash to the decision, in which nodes report
	// that the part is sound.
	settleTime = 1200 * time.Millisecond
)

// strike is a Strike as stored for its part.
type strike struct {
	engine, prompt uint32
	at             time.Time
	depth          uint8
	// own is true if this node has seen the crash.
	own bool
}

// record is the evidence about a part.
type record struct {
	part Part
	// strikes are the crashes since the part last appeared in a sound response.
	strikes []strike
	// soundAt is when the part last appeared in a sound response; zero if that isn't known.
	soundAt time.Time
	// struckAt is when the last strike was added.
	struckAt time.Time
	// depth is the largest depth of its strikes.
	depth uint8
	// errors is the number of server errors since the request was last sound.
	errors int
	// errorAt is when the last of those that other nodes reported was received by them.
	errorAt time.Time
}

// decision is the outcome of decide: the parts to put in quarantine and the evidence.
type decision struct {
	parts            []Part
	crashes, prompts int
	engines          []uint32
	// renewal is true if the subject was in quarantine until recently.
	renewal bool
}

// candidate is a part with the strikes that no quarantine explains.
type candidate struct {
	*record
	// engines are the engines that crashed, in ascending order.
	engines []uint32
	// prompts is the smallest number of requests one of which was at each of the engines.
	// Others were there by chance.
	prompts     int
	unexplained []strike
}

func (c *candidate) weight() int { return len(c.engines) + c.prompts }

// decideParts returns the parts to put in quarantine next, or none. active are the parts of the
// current quarantines; expired reports whether a part was in quarantine until recently.
//
// The part with the most evidence is chosen, and crashes of engines that also ran a
// request with parts in quarantine don't count against other parts. So a part that sound
// requests share isn't blamed for the part beside it. Parts that occurred only together
// can't be distinguished: then only requests that contain all of them are refused, unless
// some are known to be sound from earlier responses.
func decideParts(records map[Part]*record, active [][]Part, expired func(Part) bool, now time.Time) (decision, bool) {
	candidates := unexplained(records, active)
	for len(candidates) > 0 {
		// Parts with the same crashes as the first candidate can't be told apart from it.
		first := candidates[0]
		together := slices.DeleteFunc(slices.Clone(candidates), func(c *candidate) bool {
			return !slices.Equal(c.engines, first.engines)
		})
		candidates = slices.DeleteFunc(candidates, func(c *candidate) bool { return slices.Contains(together, c) })
		together = leastSound(together)
		d := decision{crashes: len(first.engines), prompts: first.prompts, engines: first.engines}
		for _, c := range together[:min(len(together), maxNoticeParts)] {
			d.parts = append(d.parts, c.part)
		}
		slices.Sort(d.parts)
		if slices.ContainsFunc(active, func(parts []Part) bool { return slices.Equal(parts, d.parts) }) {
			continue
		}
		if d.renewal = expired(together[0].part); together[0].suffices(d.renewal, now) {
			return d, true
		}
	}
	return decision{}, false
}

// suffices reports whether the evidence is enough for a quarantine.
func (c *candidate) suffices(renewal bool, now time.Time) bool {
	if renewal {
		return c.weight() >= renewalWeight
	}
	required := minWeight
	if !c.soundAt.IsZero() {
		required = minWeightOnceSound
	}
	return c.weight() >= required && c.prompts >= minPrompts && incidents(c.unexplained) >= minIncidents && now.Sub(c.unexplained[0].at) >= settleTime
}

// leastSound returns those of the candidates that never appeared in a sound response if
// there are any, and otherwise all of them; the last ones of the prompt first.
func leastSound(together []*candidate) []*candidate {
	unknown := slices.DeleteFunc(slices.Clone(together), func(c *candidate) bool { return !c.soundAt.IsZero() })
	if len(unknown) > 0 {
		together = unknown
	}
	slices.SortFunc(together, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part))
	})
	return together
}

// unexplained returns the candidates in descending order of their weight. A quarantine
// explains the strikes of other parts at engines at which all of its own parts have
// strikes.
func unexplained(records map[Part]*record, active [][]Part) []*candidate {
	explained := make([]map[uint32]bool, len(active))
	for i, parts := range active {
		explained[i] = map[uint32]bool{}
		if r := records[parts[0]]; r != nil {
			for _, s := range r.strikes {
				explained[i][s.engine] = !slices.ContainsFunc(parts, func(p Part) bool { return !records[p].hasStrikeAt(s.engine) })
			}
		}
	}
	var list []*candidate
	for _, r := range records {
		c := &candidate{record: r}
		for _, s := range r.strikes {
			if isExplained(s.engine, r.part, active, explained) {
				continue
			}
			c.unexplained = append(c.unexplained, s)
			c.engines = insert(c.engines, s.engine)
		}
		c.prompts = countPrompts(c.unexplained)
		if len(c.unexplained) > 0 {
			slices.SortFunc(c.unexplained, func(a, b strike) int { return a.at.Compare(b.at) })
			list = append(list, c)
		}
	}
	slices.SortFunc(list, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), a.soundAt.Compare(b.soundAt), cmp.Compare(a.part, b.part))
	})
	return list
}

func isExplained(engine uint32, part Part, active [][]Part, explained []map[uint32]bool) bool {
	for i, parts := range active {
		if explained[i][engine] && !slices.Contains(parts, part) {
			return true
		}
	}
	return false
}

// countPrompts returns the number of prompts that, chosen greedily, explain the crashes of
// all engines.
func countPrompts(strikes []strike) (n int) {
	for rest := slices.Clone(strikes); len(rest) > 0; n++ {
		byPrompt := map[uint32]int{}
		for _, s := range rest {
			byPrompt[s.prompt]++
		}
		most := rest[0].prompt
		for _, s := range rest {
			if byPrompt[s.prompt] > byPrompt[most] {
				most = s.prompt
			}
		}
		var covered []uint32
		for _, s := range rest {
			if s.prompt == most {
				covered = append(covered, s.engine)
			}
		}
		rest = slices.DeleteFunc(rest, func(s strike) bool { return slices.Contains(covered, s.engine) })
	}
	return n
}

// hasStrikeAt reports whether the part has a strike at an engine.
func (r *record) hasStrikeAt(engine uint32) bool {
	return r != nil && slices.ContainsFunc(r.strikes, func(s strike) bool { return s.engine == engine })
}

// incidents returns the number of times at which the strikes, sorted by time, happened.
func incidents(strikes []strike) int {
	n := 0
	var start time.Time
	for _, s := range strikes {
		if n == 0 || s.at.Sub(start) > incidentTime {
			n, start = n+1, s.at
		}
	}
	return n
}

// insert adds a value to a sorted list unless it is there.
func insert(list []uint32, value uint32) []uint32 {
	at, found := slices.BinarySearch(list, value)
	if found {
		return list
	}
	return slices.Insert(list, at, value)
}
