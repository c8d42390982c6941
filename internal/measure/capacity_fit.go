package measure

// point is one measured value at one size.
type point struct{ size, value float64 }

// fitLine returns the slope and intercept of the least-squares line through points.
func fitLine(points []point) (slope, intercept float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	if d := n*sxx - sx*sx; d != 0 {
		slope = (n*sxy - sx*sy) / d
	}
	return slope, (sy - slope*sx) / max(n, 1)
}

// emitLine emits the slope of the least-squares line through points and the line's
// value at size, which sizeLabel names in the output.
func emitLine(emit Emit, policy, name string, points []point, size float64, unit, per, sizeLabel string) {
	slope, intercept := fitLine(points)
	emit(policy, name+" slope", slope, unit+"/"+per)
	emit(policy, name+" at "+sizeLabel+" (line)", intercept+slope*size, unit)
}
