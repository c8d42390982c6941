package measure

import "slices"

// levels distributes requests over targets so that they are filled evenly, as liquid fills
// connected vessels.
type levels struct {
	// loads are the loads of the targets in requests, scaled to targets of equal size.
	loads []float64
	// sizes are the sizes of the targets relative to that one.
	sizes []float64
}

// shares returns the part of the given number of requests that each target should get, so
// that as many targets as possible have the same load afterwards, and no target above that
// load gets any.
func (l levels) shares(requests float64) []float64 {
	order := make([]int, len(l.loads))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		switch {
		case l.loads[a] < l.loads[b]:
			return -1
		case l.loads[a] > l.loads[b]:
			return 1
		}
		return a - b
	})
	// The level is that of the least loaded targets together with all requests, as long as
	// the next target is above it.
	var content, size, level float64
	for i, at := range order {
		if i > 0 && l.loads[at] >= level {
			break
		}
		content += l.loads[at] * l.sizes[at]
		size += l.sizes[at]
		level = (content + requests) / size
	}
	shares := make([]float64, len(l.loads))
	for i, load := range l.loads {
		shares[i] = max(level-load, 0) * l.sizes[i]
	}
	return shares
}

// drawResolution is the number of steps in which a share is drawn.
const drawResolution = 1 << 20

// drawByShare returns a random index with a probability in proportion to its share.
func drawByShare(shares []float64, draw func(n int) int) int {
	total, last := 0.0, 0
	for i, share := range shares {
		if total += share; share > 0 {
			last = i
		}
	}
	at := (float64(draw(drawResolution)) + 0.5) / drawResolution * total
	for i, share := range shares {
		if at -= share; at < 0 && share > 0 {
			return i
		}
	}
	return last
}
