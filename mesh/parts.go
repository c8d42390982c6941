package mesh

// assembly collects the parts of the newest summary of a member.
type assembly struct {
	id    stateID
	parts []*Summary
}

// add adds a part of a summary and returns the whole summary once all its parts have
// arrived, or nil. Parts of another summary than the one of the last call replace it: the
// parts of one summary are sent together, so the others of an older one were lost.
func (a *assembly) add(summary *Summary, p Part) *Summary {
	if p.Count <= 1 {
		return summary
	}
	if id := summary.From.stateID(); id != a.id || len(a.parts) != int(p.Count) {
		a.id, a.parts = id, make([]*Summary, p.Count)
	}
	a.parts[p.Index] = summary
	whole := Summary{From: summary.From, Total: summary.Total, Sum: newSum()}
	for _, part := range a.parts {
		if part == nil {
			return nil
		}
		whole.Sum.add(part.Sum)
		whole.Members = append(whole.Members, part.Members...)
	}
	*a = assembly{}
	return &whole
}

// split divides a sum into n parts that add up to it.
func (s *Sum) split(n int) []*Sum {
	parts := make([]*Sum, n)
	for i := range parts {
		parts[i] = newSum()
	}
	first := parts[0]
	first.Domains, first.Demand = s.Domains, s.Demand
	for instance, seen := range s.Suspects {
		parts[instance%uint32(n)].Suspects[instance] = seen
	}
	for instance, load := range s.Load {
		parts[instance%uint32(n)].Load[instance] = load
	}
	for model, nodes := range s.Waiting {
		for _, node := range nodes {
			part := parts[node%uint32(n)]
			part.Waiting[model] = append(part.Waiting[model], node)
		}
	}
	return parts
}
