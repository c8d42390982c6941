package forward

import "math"

// Evenness is how evenly the requests of a pool are distributed over its targets at one
// moment.
type Evenness struct {
	// Targets is the number of targets that accept requests without a limited rate.
	Targets int
	// Fill is the mean ratio of a target's requests to its slots.
	Fill float64
	// HighestFill is that ratio of the busiest target.
	HighestFill float64
	// BusiestToMean is the ratio of HighestFill to Fill; 1 is even.
	BusiestToMean float64
	// Spread is the standard deviation of the ratios, divided by Fill.
	Spread float64
}

// evennessOf returns the evenness of a pool. Excluded and throttled targets don't count:
// they are less loaded on purpose. Slow targets have fewer slots, so that ratios compare.
func evennessOf(candidates []Candidate) Evenness {
	var e Evenness
	var sum, squares float64
	for i := range candidates {
		c := &candidates[i]
		if c.Excluded || c.Throttled || c.Slots <= 0 {
			continue
		}
		fill := c.Requests / float64(c.Slots)
		e.Targets++
		sum, squares = sum+fill, squares+fill*fill
		e.HighestFill = max(e.HighestFill, fill)
	}
	if e.Targets == 0 || sum == 0 {
		return e
	}
	n := float64(e.Targets)
	e.Fill = sum / n
	e.BusiestToMean = e.HighestFill / e.Fill
	e.Spread = math.Sqrt(max(squares/n-e.Fill*e.Fill, 0)) / e.Fill
	return e
}

// Evenness returns the evenness of each pool of a model, as far as this node knows the
// requests of the other nodes.
func (d *Dispatcher) Evenness() map[Pool]Evenness {
	d.mu.Lock()
	defer d.mu.Unlock()
	evenness := map[Pool]Evenness{}
	for p := range d.tables.Load().engines {
		if e := evennessOf(d.candidates(p).candidates); e.Targets > 0 {
			evenness[p] = e
		}
	}
	return evenness
}
