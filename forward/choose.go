package forward

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

// isBetter reports whether c comes before another candidate.
func (c *Candidate) isBetter(other *Candidate, slots int) bool {
	if c.Doubtful != other.Doubtful {
		return other.Doubtful
	}
	return c.score(slots) < other.score(slots)
}

// hasPlace reports whether another request of this node can start at the
// candidate. Free places belong to the nodes with waiting requests in an order
// that they all know, so that one free place doesn't draw a request from each. It
// answers to full targets, where news of other nodes' requests come too late.
func (c *Candidate) hasPlace() bool {
	limit := c.Slots + int(float64(c.Slots)*overcommit)
	return c.Requests+float64(c.Ahead) < float64(limit)
}

// Choose returns the index of the least loaded candidate that has a place, or -1;
// doubtful ones come last. It answers to the load of all nodes as known here: requests in progress,
// and prompts that this node has sent. Ties go to the candidate that start names,
// so that nodes with the same news don't choose alike.
func Choose(candidates []Candidate, start int) int {
	largest := 1
	for i := range candidates {
		largest = max(largest, candidates[i].Slots)
	}
	best := -1
	for i := range candidates {
		at := (i + start) % len(candidates)
		c := &candidates[at]
		if c.Avoid || !c.hasPlace() {
			continue
		}
		if best < 0 || c.isBetter(&candidates[best], largest) {
			best = at
		}
	}
	return best
}
