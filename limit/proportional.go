package limit

// reservedPart is the part of a limit that is split equally whatever the
// demand. It lets a node serve the first requests of an organisation that moves
// to it before peers know of the demand.
const reservedPart = 0.1

// ProportionalShare splits a limit in proportion to the nodes' demand. Without fresh
// demand of any peer it falls back to the equal share, so that nodes that are
// cut off from each other do not exceed the limit together.
type ProportionalShare struct{}

// Share implements SharePolicy.
func (ProportionalShare) Share(in ShareInput) float64 {
	equal := EqualShare{}.Share(in)
	others, heard := otherDemand(in)
	if heard+1 < in.Members {
		// The demand of a silent member is unknown; its equal share stays its
		// own.
		known := float64(heard+1) * equal
		return known * weigh(in.LocalDemand, others, heard+1)
	}
	return weigh(in.LocalDemand, others, heard+1)
}

// weigh returns the part of one node among nodes by its demand.
func weigh(local, others float64, nodes int) float64 {
	equal := 1 / float64(max(nodes, 1))
	total := local + others
	if total <= 0 {
		return equal
	}
	return reservedPart*equal + (1-reservedPart)*local/total
}

// otherDemand sums the fresh demand of the other nodes and counts them.
func otherDemand(in ShareInput) (sum float64, heard int) {
	sums := in.sums
	if sums == nil {
		sums = sumDemand(in.Demand, in.Self, in.Now, in.DemandLifetime)
	}
	return sums.byOrganisation[in.Organisation], sums.heard
}
