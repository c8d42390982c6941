package measure

import "time"

// startReports starts the reports of the nodes, as the mesh of nodes sends them.
func (s *evenSim) startReports() {
	for _, n := range s.nodes {
		if s.policy.reports == reportsAtRounds {
			s.every(evenInterval, func() { s.publish(n) })
		}
		if s.policy.reports == reportsAligned {
			s.everyFrom(time.Duration(s.rng.Int64N(int64(evenSpread))), evenInterval, func() { s.report(n) })
		} else {
			s.every(evenInterval, func() { s.report(n) })
		}
	}
	if s.evenCase.nodes <= evenDirectNodes {
		return
	}
	for domain := range evenDomains {
		if s.policy.reports == reportsAligned {
			s.everyFrom(evenSpread+evenTransit, evenInterval, func() { s.sums[domain] = s.sum(func(n *evenNode) bool { return n.domain == domain }) })
			s.everyFrom(evenSpread+3*evenTransit, evenInterval, func() { s.aggregate(domain) })
		} else {
			s.every(evenInterval, func() { s.aggregate(domain) })
		}
	}
}

// report sends the state of a node to all others or to its aggregator.
func (s *evenSim) report(n *evenNode) {
	if !n.alive {
		return
	}
	state := newEvenReport(s.groups)
	state.at = s.now
	for g, running := range n.own {
		state.running[g] = running
		state.demand += running
	}
	if len(n.queue) > 0 {
		state.waiting = []int{n.index}
		state.demand += len(n.queue)
	}
	transit := evenTransit
	if n.late {
		transit = evenLateTransit
	}
	s.schedule(transit, func() {
		s.states[n.index] = state
		if s.evenCase.nodes > evenDirectNodes {
			return
		}
		sum := s.sum(func(*evenNode) bool { return true })
		for _, other := range s.nodes {
			if other != n {
				s.view(other, sum, nil)
			}
		}
	})
}

// sum returns the sum of the latest states of some nodes.
func (s *evenSim) sum(include func(*evenNode) bool) *evenReport {
	sum := newEvenReport(s.groups)
	for i, state := range s.states {
		if state != nil && s.now-state.at < evenStateTTL+evenLateTransit && include(s.nodes[i]) {
			sum.add(state, 1)
		}
	}
	return sum
}

// aggregate sends the sum of a domain to the other aggregators, and that of all domains to
// the nodes of the domain.
func (s *evenSim) aggregate(domain int) {
	local := s.sum(func(n *evenNode) bool { return n.domain == domain })
	total := newEvenReport(s.groups)
	total.add(local, 1)
	for other := range evenDomains {
		if other != domain {
			total.add(s.sums[other], 1)
		}
	}
	states := append([]*evenReport(nil), s.states...)
	s.schedule(evenTransit, func() {
		s.sums[domain] = local
		for _, n := range s.nodes {
			if n.domain == domain {
				s.view(n, total, states[n.index])
			}
		}
	})
}

// view sets what a node knows of the others: a sum without the node's own state.
func (s *evenSim) view(n *evenNode, sum, own *evenReport) {
	if own == nil && s.evenCase.nodes <= evenDirectNodes {
		own = s.states[n.index]
	}
	others := newEvenReport(s.groups)
	others.add(sum, 1)
	if own != nil {
		others.add(own, -1)
		kept := others.waiting[:0]
		for _, node := range others.waiting {
			if node != n.index {
				kept = append(kept, node)
			}
		}
		others.waiting = kept
	}
	for g := range others.running {
		others.running[g] = max(others.running[g], 0)
	}
	n.arrived = others
	if s.policy.reports != reportsAtRounds {
		s.publish(n)
	}
}

// publish puts what a node received last into its view.
func (s *evenSim) publish(n *evenNode) {
	if n.arrived != nil {
		n.others = n.arrived
		s.lend(n)
	}
}

// restartNode stops a node with its requests, and starts it again later without knowledge
// of the others.
func (s *evenSim) restartNode() {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if !n.alive {
		return
	}
	n.alive = false
	for _, e := range s.engines {
		e.waiting = s.drop(e, e.waiting, n)
		e.running = s.drop(e, e.running, n)
	}
	n.queue = nil
	s.schedule(evenRestartAfter, func() {
		n.alive, n.others, n.arrived = true, newEvenReport(s.groups), nil
	})
}

// drop removes the requests of a stopped node, whose connections are closed, from a list of
// an engine.
func (s *evenSim) drop(e *simEngine, list []*simRequest, n *evenNode) []*simRequest {
	kept := list[:0]
	for _, r := range list {
		request := s.byFirst[r]
		if request.at != n {
			kept = append(kept, r)
			continue
		}
		n.own[request.group]--
		if r.prefillLeft > 0 || r.produced == 0 {
			n.unread[request.group] -= r.prompt
			e.queuedTokens -= r.prefillLeft
		}
		e.kvUsed -= r.prompt + r.produced
		delete(s.byFirst, r)
	}
	return kept
}
