package limit

// equalFraction is the fraction of a limit that is divided equally, regardless of
// demand. With it a node can serve the first requests of an organisation that
// switches to it before its peers receive the new demand.
const equalFraction = 0.1

// ProportionalShare divides a limit in proportion to the nodes' demand. Without
// fresh demand of any peer it returns the equal share, so that partitioned nodes
// do not exceed the limit together.
type ProportionalShare struct{}

// Share implements SharePolicy.
func (ProportionalShare) Share(in ShareInput) float64 {
	equal := EqualShare{}.Share(in)
	others, peers := peerDemand(in)
	if peers+1 < in.Members {
		// The demand of a member from which none was received is unknown, so its
		// equal share is left to it.
		known := float64(peers+1) * equal
		return known * demandShare(in.LocalDemand, others, peers+1)
	}
	return demandShare(in.LocalDemand, others, peers+1)
}

// demandShare returns the share of a node with the given local demand; others is
// the demand of all other nodes together.
func demandShare(local, others float64, nodes int) float64 {
	equal := 1 / float64(max(nodes, 1))
	total := local + others
	if total <= 0 {
		return equal
	}
	return equalFraction*equal + (1-equalFraction)*local/total
}

// peerDemand returns the total fresh demand of the organisation on the other
// nodes, and the number of nodes with fresh demand.
func peerDemand(in ShareInput) (sum float64, peers int) {
	sums := in.sums
	if sums == nil {
		sums = sumDemand(in.Demand, in.Self, in.Now, in.DemandLifetime)
	}
	return sums.byOrganisation[in.Organisation], sums.peers
}
