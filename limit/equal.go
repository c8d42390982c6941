package limit

// EqualShare gives every node the same share of a limit. It is the baseline: the
// shares add up to exactly the limit, but an organisation whose requests all
// arrive at one node gets only that node's share.
type EqualShare struct{}

// Share implements SharePolicy.
func (EqualShare) Share(in ShareInput) float64 {
	return 1 / float64(max(in.Members, 1))
}
