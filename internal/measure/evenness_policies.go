package measure

import (
	"math"

	"github.com/rattanlanding/rattanlanding/forward"
)

// evenReports is how reports pass between nodes.
type evenReports int

const (
	// reportsAtRounds are sent, and put into the view, at rounds of unrelated phases.
	reportsAtRounds evenReports = iota
	// reportsAtOnce are put into the view when they arrive.
	reportsAtOnce
	// reportsAligned are sent in order as well: states, sums of domains, sums of all.
	reportsAligned
)

// evenPolicy chooses a group for a request of a node, or -1.
type evenPolicy struct {
	name    string
	reports evenReports
	choose  func(s *evenSim, n *evenNode, candidates []forward.Candidate, unreported float64) int
}

// evenSubset divides the groups; the quotient is the number of groups that a node chooses
// among in a subset.
const evenSubset = 4

// evenPolicies are the compared choices: the first one is in use.
var evenPolicies = []evenPolicy{
	{"two draws, unaligned reports", reportsAtRounds, twoDraws},
	{"own sends unknown", reportsAtRounds, func(s *evenSim, n *evenNode, c []forward.Candidate, unreported float64) int {
		for g := range c {
			c[g].Requests = float64(n.others.running[g])
			if state := s.states[n.index]; state != nil {
				c[g].Requests += float64(state.running[g])
			}
		}
		return twoDraws(s, n, c, unreported)
	}},
	{"expected sends of others", reportsAtRounds, expectedSends},
	{"subset of groups", reportsAtRounds, func(s *evenSim, n *evenNode, c []forward.Candidate, unreported float64) int {
		subset := make([]forward.Candidate, len(n.subset))
		for i, g := range n.subset {
			subset[i] = c[g]
		}
		if i := twoDraws(s, n, subset, unreported/evenSubset); i >= 0 {
			return n.subset[i]
		}
		return twoDraws(s, n, c, unreported)
	}},
	{"lent slots", reportsAtRounds, func(s *evenSim, n *evenNode, c []forward.Candidate, unreported float64) int {
		best := -1
		for g, lent := range n.lent {
			if lent > 0 && (best < 0 || lent > n.lent[best]) {
				best = g
			}
		}
		if best >= 0 {
			n.lent[best]--
			return best
		}
		return twoDraws(s, n, c, unreported)
	}},
	{"full engines as news", reportsAtRounds, func(s *evenSim, n *evenNode, c []forward.Candidate, unreported float64) int {
		for g := range c {
			if at := s.crowded[g]; at > 0 && s.now >= at+evenTransit && s.now-at < s.reportAge() {
				c[g].Requests = max(c[g].Requests, 2*float64(c[g].Slots))
			}
		}
		return twoDraws(s, n, c, unreported)
	}},
	{"estimated time", reportsAtRounds, estimatedTime},
	{"two draws, reports at once", reportsAtOnce, twoDraws},
	{"expected sends of others, aligned reports", reportsAligned, expectedSends},
	{"estimated time, aligned reports", reportsAligned, estimatedTime},
	{"two draws, aligned reports", reportsAligned, twoDraws},
}

// twoDraws is the choice in use.
func twoDraws(s *evenSim, _ *evenNode, c []forward.Candidate, unreported float64) int {
	return forward.Choose(c, unreported, s.rng.IntN)
}

// estimatedTime weighs the requests at a group by its pace.
func estimatedTime(s *evenSim, n *evenNode, c []forward.Candidate, unreported float64) int {
	const tokensPerRequest = 2000
	for g := range c {
		c[g].PromptTokens += (s.engines[g].slowdown - 1) * c[g].Requests * tokensPerRequest
	}
	return twoDraws(s, n, c, unreported)
}

// expectedSendsFactor multiplies the expected sends. With a factor of 1, the sends of all
// nodes would correct each difference just when its reports arrive, and overshoot.
const expectedSendsFactor = 2

// expectedSends divides the requests that the others are expected to send over the groups,
// so that all are filled to the same level, and draws a group by its part.
func expectedSends(s *evenSim, _ *evenNode, c []forward.Candidate, unreported float64) int {
	eligible := forward.Eligible(c, unreported)
	if len(eligible) == 0 {
		return -1
	}
	l := levels{loads: make([]float64, len(eligible)), sizes: make([]float64, len(eligible))}
	for i, g := range eligible {
		l.loads[i], l.sizes[i] = c[g].Requests, 1
	}
	return eligible[drawByShare(l.shares(expectedSendsFactor*unreported+1), s.rng.IntN)]
}

// lend gives a node its part of the slots that the reports show as free. Fractions are
// rounded at random, so that about all slots are lent.
func (s *evenSim) lend(n *evenNode) {
	for g := range n.lent {
		free := max(float64(s.slots-n.own[g]-n.others.running[g]), 0) / float64(len(s.nodes))
		n.lent[g] = int(math.Floor(free + s.rng.Float64()))
	}
}
