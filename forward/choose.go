package forward

import (
	"math"
	"slices"
)

// Candidate is what the choice of a target reads.
type Candidate struct {
	// Requests is the estimated number of requests there, from all nodes.
	Requests float64
	// PromptTokens is the prompt that this node has sent there and that is not
	// read yet.
	PromptTokens float64
	Slots        int
	// Ahead is the number of nodes with waiting requests that come before this one
	// at the target.
	Ahead int
	// Near tells that the target is in this node's failure domain.
	Near bool
	// Avoid tells that the target was tried before or can't work.
	Avoid bool
	// Slow targets are late even when they are idle.
	Slow bool
	// Doubtful targets failed lately. They are used if there is no other place.
	Doubtful bool
}

const (
	// promptWeight is the load of a prompt token against that of a running
	// request. A batch of 17 requests makes a token step a fifth longer, and
	// reading 2,000 tokens delays it by about the time of one event.
	promptWeight = 1.0 / 2000
	// distanceWeight is the load, in requests, that a target in this failure
	// domain may have more than one elsewhere, since bytes between domains cost.
	distanceWeight = 0.6
	// overcommit is the part of the slots that may wait at a target beside those
	// that run, so that a freed slot is filled at once.
	overcommit = 0.06
)

// score is the load of a candidate in requests, scaled to a batch of the given
// slots, so that targets of different sizes fill alike.
func (c *Candidate) score(slots int) float64 {
	s := (c.Requests + c.PromptTokens*promptWeight) * float64(slots) / float64(max(c.Slots, 1))
	if !c.Near {
		s += distanceWeight
	}
	return s
}

// tier orders candidates whatever their load: usual ones, those whose answers are
// late even when they are idle, and those that failed lately.
func (c *Candidate) tier() int {
	switch {
	case c.Doubtful:
		return 2
	case c.Slow:
		return 1
	}
	return 0
}

// hasPlace reports whether another request of this node can start at the
// candidate. Free places belong to the nodes with waiting requests in an order
// that they all know, so that one free place doesn't draw a request from each. It
// answers to full targets, where news of other nodes' requests come too late.
func (c *Candidate) hasPlace() bool {
	limit := c.Slots + int(float64(c.Slots)*overcommit)
	return c.Requests+float64(c.Ahead) < float64(limit)
}

// choices is the number of candidates that are drawn for each request.
const choices = 2

// Choose returns the index of the less loaded one of two candidates that are drawn
// from those of the lowest tier that have a place, or -1. The draw returns a number
// below n. It answers to the load of all nodes as known here, which is some hundred
// milliseconds old: the least loaded candidate of all would be chosen by every node
// until the news of its load arrive, and be overfilled meanwhile.
func Choose(candidates []Candidate, draw func(n int) int) int {
	largest, lowest := 1, math.MaxInt
	eligible := make([]int, 0, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		largest = max(largest, c.Slots)
		if c.Avoid || c.tier() > lowest || !c.hasPlace() {
			continue
		}
		if c.tier() < lowest {
			lowest, eligible = c.tier(), eligible[:0]
		}
		eligible = append(eligible, i)
	}
	best := -1
	for range min(choices, len(eligible)) {
		at := draw(len(eligible))
		drawn := eligible[at]
		eligible = slices.Delete(eligible, at, at+1)
		if best < 0 || candidates[drawn].score(largest) < candidates[best].score(largest) {
			best = drawn
		}
	}
	return best
}
