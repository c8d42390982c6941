package forward

import (
	"slices"
	"time"
)

// Candidate is the state of a target that Choose uses.
type Candidate struct {
	// Requests is the estimated number of requests of all nodes at the target.
	Requests float64
	// PromptTokens is the number of prompt tokens that this node has sent to the
	// target and that aren't read yet.
	PromptTokens float64
	// FirstEvent is the estimated time to the first event of a request of usual length; 0 if
	// it is unknown.
	FirstEvent time.Duration
	Slots      int
	// Throttled is true if the target accepts a limited request rate.
	Throttled bool
	// Permits is the number of requests that this node may send to a throttled target.
	Permits float64
	// Cold is true if the target is throttled because it is cold. Its permits expire soon.
	Cold bool
	// Ahead is the number of nodes with waiting requests that have precedence over
	// this node at the target.
	Ahead int
	// SameDomain is true if the target is in this node's failure domain.
	SameDomain bool
	// Excluded is true if the target was tried before or isn't eligible.
	Excluded bool
	// Slow is true if the target's responses are late even when it is idle.
	Slow bool
	// RecentlyFailed is true if the target is silent or gone. It is used only if no other
	// target has a free slot.
	RecentlyFailed bool
	// Trust is the part of its slots that the target gets, from 0 to 1, because it failed
	// requests. 0 is unknown and counts as 1: a target that gets nothing is Excluded.
	Trust float64
	// Doubtful is true if the target failed so many requests that one that must not be sent
	// twice goes to another target.
	Doubtful bool
	// Trial is true if the target was silent or gone and has shown no sign of life since. It
	// gets one request of this node at a time, however many other nodes have there.
	Trial bool
}

const (
	// promptWeight is the load of an unread prompt token, in running requests. A batch
	// of 17 requests makes a token step a fifth longer, and reading 2,000 tokens
	// delays it by about the time of one event.
	promptWeight = 1.0 / 2000
	// crossDomainWeight is added to the load of a target in another failure domain, in
	// requests, because traffic between failure domains has a cost.
	crossDomainWeight = 0.6
	// overcommit is the fraction of a target's slots that may be assigned in addition
	// to them, so that a request waits at the target when a slot becomes free.
	overcommit = 0.06
	// maxCrowding is the ratio of a target's requests to its limit from which it gets no
	// requests at all. Below it, the outdated reports may be the reason.
	maxCrowding = 1.25
)

// score returns the load of a candidate in requests, scaled to a target with the given
// number of slots, so that targets of different sizes are filled evenly.
func (c *Candidate) score(slots int) float64 {
	s := (c.Requests + c.PromptTokens*promptWeight) * float64(slots) / (float64(max(c.Slots, 1)) * c.trust())
	s += (1/c.trust() - 1) * float64(slots) / float64(max(c.Slots, 1))
	if !c.SameDomain {
		s += crossDomainWeight
	}
	return s
}

// tier returns the preference of a candidate independent of its load; lower tiers come
// first: usual targets, slow ones, and those that failed recently.
func (c *Candidate) tier() int {
	switch {
	case c.RecentlyFailed:
		return 2
	case c.Slow:
		return 1
	}
	return 0
}

// hasFreeSlot reports whether another request of this node can start at the candidate.
// Free slots go to the nodes with waiting requests in an order that all of them
// compute, so that one free slot doesn't attract a request from each node. This is
// needed at full targets, where reports of other nodes' requests arrive too late.
//
// The permits of a throttled target are divided between the nodes already.
func (c *Candidate) hasFreeSlot() bool {
	if c.Throttled {
		return c.Permits >= 1 && c.Requests < c.limit()
	}
	return c.Requests+float64(c.Ahead) < c.limit()
}

// free returns the number of requests that can start at the candidate.
func (c *Candidate) free() float64 {
	free := max(c.limit()-c.Requests, 0)
	if c.Throttled {
		return min(free, max(c.Permits, 0))
	}
	return free
}

// limit returns the number of requests that may be assigned to the candidate.
func (c *Candidate) limit() float64 {
	return float64(c.Slots+int(float64(c.Slots)*overcommit)) * c.trust()
}

// trust returns Trust, or 1 if it is unknown.
func (c *Candidate) trust() float64 {
	if c.Trust <= 0 {
		return 1
	}
	return c.Trust
}

// preferSound returns the candidates without doubtful ones if another one has a free slot.
func preferSound(candidates []Candidate) []Candidate {
	doubtful := func(c Candidate) bool { return c.Doubtful && !c.Excluded }
	if !slices.ContainsFunc(candidates, doubtful) ||
		!slices.ContainsFunc(candidates, func(c Candidate) bool { return !c.Excluded && !c.Doubtful && c.hasFreeSlot() }) {
		return candidates
	}
	candidates = slices.Clone(candidates)
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || candidates[i].Doubtful
	}
	return candidates
}

// drawCount is the number of candidates that are drawn at random for each request.
const drawCount = 2

// Choose returns the index of the less loaded of two random candidates among those of
// the lowest tier with a free slot (the power of two choices), or -1. draw returns a
// random number below n. Choosing the least loaded of all candidates would overload it:
// the load reported by other nodes is some hundred milliseconds old, and every node
// would choose the same candidate until updates of its load arrive.
//
// unreported is the number of requests that all nodes are expected to send until the
// reports show them. If it exceeds the free slots, all nodes would choose the few
// candidates with a free slot, and overload them while the others empty. The request is
// then sent to any candidate of the tier that isn't crowded.
//
// Cold candidates for which this node has a permit are compared in addition: no other node can
// use the permit, and it expires soon.
func Choose(candidates []Candidate, unreported float64, draw func(n int) int) int {
	eligible, largest := Eligible(candidates, unreported), 1
	for i := range candidates {
		largest = max(largest, candidates[i].Slots)
	}
	best := -1
	for range min(drawCount, len(eligible)) {
		at := draw(len(eligible))
		drawn := eligible[at]
		eligible = slices.Delete(eligible, at, at+1)
		if best < 0 || candidates[drawn].score(largest) < candidates[best].score(largest) {
			best = drawn
		}
	}
	for _, i := range eligible {
		if candidates[i].Cold && candidates[i].score(largest) < candidates[best].score(largest) {
			best = i
		}
	}
	return best
}

// Eligible returns the indexes of the candidates that Choose draws from.
func Eligible(candidates []Candidate, unreported float64) []int {
	tier, found := lowestFreeTier(candidates)
	if !found {
		return nil
	}
	free := 0.0
	for i := range candidates {
		if c := &candidates[i]; !c.Excluded && c.tier() == tier {
			free += c.free()
		}
	}
	eligible := make([]int, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded || c.tier() != tier {
			continue
		}
		if c.hasFreeSlot() || (!c.Throttled && unreported > free && c.Requests < maxCrowding*c.limit()) {
			eligible = append(eligible, i)
		}
	}
	return eligible
}

// lowestFreeTier returns the lowest tier of the candidates with a free slot, and reports
// whether there is one.
func lowestFreeTier(candidates []Candidate) (tier int, found bool) {
	for i := range candidates {
		c := &candidates[i]
		if !c.Excluded && c.hasFreeSlot() && (!found || c.tier() < tier) {
			tier, found = c.tier(), true
		}
	}
	return tier, found
}
