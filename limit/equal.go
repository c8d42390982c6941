package limit

// EqualShare gives every node the same share. It is the baseline: exact in total,
// but an organisation whose requests arrive at one node gets only that node's
// part.
type EqualShare struct{}

// Share implements SharePolicy.
func (EqualShare) Share(in ShareInput) float64 {
	return 1 / float64(max(in.Members, 1))
}
