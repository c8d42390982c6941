package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/rattanlanding/rattanlanding/blackboard"
	"github.com/rattanlanding/rattanlanding/fleet"
	"github.com/rattanlanding/rattanlanding/limit"
)

// The load on the limits, all in simulated time.
const (
	limitsTick           = 100 * time.Millisecond
	limitsEnd            = 45 * time.Second
	limitsWarmUp         = 10 * time.Second // start of the measured time
	limitsChangeAt       = 20 * time.Second // time of the case's change
	limitsHealAt         = 33 * time.Second // end of a network partition
	limitsWindow         = 5 * time.Second  // over which overrun is computed
	limitsRequestTokens  = 3_000            // of one request
	limitsNodesPerCaller = 3                // addresses that a caller has
	exchangeInterval     = time.Second
	// gossipPeers is the number of random peers that a node above the full mesh's size
	// exchanges with in a second.
	gossipPeers = 3
	// gossipRelayedNodes is the number of other nodes whose demand a peer's 600 byte
	// digest holds.
	gossipRelayedNodes = 6
	// fullMesh is the number of nodes up to which all exchange with each other.
	fullMesh = 16
	// demandTimeToLive is the age at which a node's demand is dropped.
	demandTimeToLive = 10 * time.Second
)

// limitsOrganisations returns two large organisations and eight small ones.
func limitsOrganisations() []fleet.Organisation {
	organisations := []fleet.Organisation{{Name: "large-1", TokensPerSecond: 200_000}, {Name: "large-2", TokensPerSecond: 100_000}}
	for i := range 8 {
		organisations = append(organisations, fleet.Organisation{Name: fmt.Sprintf("small-%d", i+1), TokensPerSecond: 10_000})
	}
	return organisations
}

// limitsCase is one number of nodes and one change during the run.
type limitsCase struct {
	name  string
	nodes int
	// spread distributes the demand over all nodes instead of limitsNodesPerCaller.
	spread bool
	change string
}

// limitsNode is a node with the real limiter.
type limitsNode struct {
	board        *blackboard.Board
	limiter      *limit.Limiter
	demandByNode map[string]blackboard.NodeDemand
	// side is the node's side of a network partition, 0 or 1.
	side     int
	departed bool
	// used is true once callers use the node. Only then does it update its shares.
	used bool
}

// limitsSim runs one share policy on one case.
type limitsSim struct {
	limitsCase
	now           time.Duration
	rng           *rand.Rand
	organisations []fleet.Organisation
	nodes         []*limitsNode
	homeNodes     [][]int
	partitioned   bool
	// admitted and requested are tokens by organisation and tick.
	admitted, requested [][]float64
	// credit is the demand in tokens, by organisation, that is not yet requested.
	credit []float64
}

func newLimitsSim(c limitsCase, seed uint64, policy limit.SharePolicy) *limitsSim {
	s := &limitsSim{limitsCase: c, rng: rand.New(rand.NewPCG(seed, 3)), organisations: limitsOrganisations()}
	configuration := &fleet.Configuration{Organisations: s.organisations}
	for i := range c.nodes {
		n := &limitsNode{board: &blackboard.Board{}, demandByNode: make(map[string]blackboard.NodeDemand), side: i % 2}
		n.board.Configuration.Publish(configuration)
		n.limiter = limit.NewLimiter(n.board, limit.Config{Policy: policy, Now: s.clock}, metrics.NewRegistry())
		n.departed = c.change == "come and go" && i%5 == 4
		s.nodes = append(s.nodes, n)
	}
	s.credit = make([]float64, len(s.organisations))
	s.admitted = make([][]float64, len(s.organisations))
	s.requested = make([][]float64, len(s.organisations))
	s.chooseHomeNodes()
	s.publishMembers()
	return s
}

func (s *limitsSim) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

// chooseHomeNodes chooses the nodes that each organisation's callers use.
func (s *limitsSim) chooseHomeNodes() {
	s.homeNodes = make([][]int, len(s.organisations))
	for o := range s.organisations {
		var live []int
		for i, n := range s.nodes {
			if !n.departed {
				live = append(live, i)
			}
		}
		if !s.spread {
			s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
			live = live[:limitsNodesPerCaller]
		}
		s.homeNodes[o] = live
		for _, i := range live {
			s.nodes[i].used = true
		}
	}
}

func (s *limitsSim) nodeName(i int) string { return fmt.Sprintf("node-%03d", i) }

// canReach reports whether node i can exchange with node j.
func (s *limitsSim) canReach(i, j int) bool {
	return !s.nodes[j].departed && (!s.partitioned || s.nodes[i].side == s.nodes[j].side)
}

// publishMembers publishes the member list of each node. Nodes on the other side of a
// network partition stay members: no confirmed side removes them within these times.
func (s *limitsSim) publishMembers() {
	var all []fleet.MemberView
	for i, n := range s.nodes {
		if !n.departed {
			all = append(all, fleet.MemberView{Member: fleet.Member{Node: s.nodeName(i), State: fleet.NodeServing}})
		}
	}
	for i, n := range s.nodes {
		n.board.Members.Publish(&blackboard.Members{Self: s.nodeName(i), All: all})
	}
}

// exchange copies the demand of its peers to node i.
func (s *limitsSim) exchange(i int) {
	n := s.nodes[i]
	if len(s.nodes) <= fullMesh {
		for j := range s.nodes {
			if j != i && s.canReach(i, j) {
				n.demandByNode[s.nodeName(j)] = s.nodes[j].limiter.LocalDemand()
			}
		}
	} else {
		for range gossipPeers {
			s.gossip(i, s.rng.IntN(len(s.nodes)))
		}
	}
	demand := &blackboard.Demand{ByNode: make(map[string]blackboard.NodeDemand, len(n.demandByNode))}
	for node, d := range n.demandByNode {
		if s.clock().Sub(d.ReceivedAt) > demandTimeToLive {
			delete(n.demandByNode, node)
			continue
		}
		demand.ByNode[node] = d
	}
	n.board.Demand.Publish(demand)
}

// gossip copies to node i the demand that fits into one digest of node j.
func (s *limitsSim) gossip(i, j int) {
	if i == j || !s.canReach(i, j) {
		return
	}
	n, from := s.nodes[i], s.nodes[j]
	n.demandByNode[s.nodeName(j)] = from.limiter.LocalDemand()
	for range gossipRelayedNodes {
		name := s.nodeName(s.rng.IntN(len(s.nodes)))
		if d, found := from.demandByNode[name]; found && name != s.nodeName(i) && d.ReceivedAt.After(n.demandByNode[name].ReceivedAt) {
			n.demandByNode[name] = d
		}
	}
}

// applyChange applies the case's change.
func (s *limitsSim) applyChange() {
	switch s.change {
	case "demand moves":
		s.chooseHomeNodes()
	case "cut apart":
		s.partitioned = true
	case "come and go":
		for i, n := range s.nodes {
			n.departed = i%5 == 0
		}
		s.publishMembers()
		s.chooseHomeNodes()
	}
}

// run offers each organisation's demand at factor times its limit.
func (s *limitsSim) run(ctx context.Context, factor float64) error {
	for s.now = 0; s.now < limitsEnd; s.now += limitsTick {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch s.now {
		case limitsChangeAt:
			s.applyChange()
		case limitsHealAt:
			s.partitioned = false
		}
		for i, n := range s.nodes {
			// Each node acts at its own phase of the second.
			phase := (s.now/limitsTick + time.Duration(i)) % 10
			if !n.departed && phase == 0 {
				s.exchange(i)
			}
			if !n.departed && n.used && phase%5 == 1 || s.now == 0 {
				n.limiter.Update()
			}
		}
		for o := range s.organisations {
			s.offer(ctx, o, factor)
		}
	}
	return nil
}

// offer sends the requests of one organisation in one tick.
func (s *limitsSim) offer(ctx context.Context, o int, factor float64) {
	organisation := &s.organisations[o]
	s.credit[o] += factor * organisation.TokensPerSecond * limitsTick.Seconds()
	var admitted, requested float64
	for s.credit[o] >= limitsRequestTokens {
		s.credit[o] -= limitsRequestTokens
		requested += limitsRequestTokens
		n := s.nodes[s.homeNodes[o][s.rng.IntN(len(s.homeNodes[o]))]]
		if _, err := n.limiter.Admit(ctx, organisation.Name, "llm", limitsRequestTokens, 0); err == nil {
			admitted += limitsRequestTokens
		}
	}
	s.admitted[o] = append(s.admitted[o], admitted)
	s.requested[o] = append(s.requested[o], requested)
}

// overrunFraction returns the most by which any organisation exceeded its limit in any
// window, as a fraction of the limit, among count organisations from index first.
func (s *limitsSim) overrunFraction(first, count int) float64 {
	window, worst := int(limitsWindow/limitsTick), -1.0
	for o := first; o < first+count; o++ {
		sum := 0.0
		for t := int(limitsWarmUp / limitsTick); t < len(s.admitted[o]); t++ {
			sum += s.admitted[o][t]
			if t >= window+int(limitsWarmUp/limitsTick) {
				sum -= s.admitted[o][t-window]
				worst = max(worst, sum/(s.organisations[o].TokensPerSecond*limitsWindow.Seconds())-1)
			}
		}
	}
	return max(worst, 0)
}

// unusedFraction returns the fraction of the tokens due to the organisations that was
// not admitted.
func (s *limitsSim) unusedFraction(first, count int) float64 {
	var admitted, due float64
	for o := first; o < first+count; o++ {
		cap := s.organisations[o].TokensPerSecond * limitsTick.Seconds()
		requested := 0.0
		for t := int(limitsWarmUp / limitsTick); t < len(s.admitted[o]); t++ {
			admitted += s.admitted[o][t]
			requested += s.requested[o][t]
		}
		due += min(requested, cap*float64(len(s.admitted[o])-int(limitsWarmUp/limitsTick)))
	}
	return max(1-admitted/due, 0)
}

// limits compares the policies that divide limits among nodes.
func limits(ctx context.Context, seed uint64, emit Emit) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(simConcurrency)
	var runs []*limitsRun
	for _, nodes := range []int{9, 380} {
		for _, change := range []string{"steady", "demand moves", "cut apart", "come and go", "spread"} {
			if nodes > fullMesh && change == "spread" {
				continue // All nodes update their shares, which takes minutes.
			}
			for _, policy := range []limit.SharePolicy{limit.EqualShare{}, limit.ProportionalShare{}} {
				for _, factor := range []float64{2, 0.8} {
					c := limitsCase{name: fmt.Sprintf("%d nodes, %s", nodes, change), nodes: nodes, change: change, spread: change == "spread"}
					r := &limitsRun{factor: factor, name: fmt.Sprintf("%T", policy)[len("limit."):]}
					runs = append(runs, r)
					group.Go(func() error {
						r.sim = newLimitsSim(c, seed, policy)
						return r.sim.run(ctx, factor)
					})
				}
			}
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, r := range runs {
		r.emit(emit)
	}
	return nil
}

// limitsRun is one run, with demand at factor times the limits.
type limitsRun struct {
	name   string
	factor float64
	sim    *limitsSim
}

// emit emits the overrun and the unused fraction.
func (r *limitsRun) emit(emit Emit) {
	for _, size := range []struct {
		name         string
		first, count int
	}{{"large", 0, 2}, {"small", 2, 8}} {
		label := fmt.Sprintf("%s, %s, demand %.1f of limit", r.sim.name, size.name, r.factor)
		emit(r.name, label+", overrun", r.sim.overrunFraction(size.first, size.count), "of limit")
		emit(r.name, label+", unused", r.sim.unusedFraction(size.first, size.count), "of due")
	}
}
