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

// The load on the limits, all on simulated time.
const (
	limitsTick    = 100 * time.Millisecond
	limitsEnd     = 45 * time.Second
	limitsWarmUp  = 10 * time.Second
	limitsChange  = 20 * time.Second
	limitsMerged  = 33 * time.Second
	limitsWindow  = 5 * time.Second
	limitsTokens  = 3_000 // of one request
	limitsHomes   = 3     // addresses that a caller knows
	exchangeEvery = time.Second
	// gossipPeers and gossipRelayed are what a node above the full mesh asks in
	// a second: random peers, whose 600 byte digests hold a few nodes' demand.
	gossipPeers   = 3
	gossipRelayed = 6
	fullMesh      = 16
	demandExpires = 10 * time.Second
)

// limitsOrganisations are two large organisations and eight small ones.
func limitsOrganisations() []fleet.Organisation {
	organisations := []fleet.Organisation{{Name: "large-1", TokensPerSecond: 200_000}, {Name: "large-2", TokensPerSecond: 100_000}}
	for i := range 8 {
		organisations = append(organisations, fleet.Organisation{Name: fmt.Sprintf("small-%d", i+1), TokensPerSecond: 10_000})
	}
	return organisations
}

// limitsCase is one size and one change.
type limitsCase struct {
	name  string
	nodes int
	// spread sends the demand to all nodes instead of limitsHomes.
	spread bool
	change string
}

// limitsNode is a node with the real limiter.
type limitsNode struct {
	board   *blackboard.Board
	limiter *limit.Limiter
	known   map[string]blackboard.NodeDemand
	side    int
	gone    bool
	// used tells that callers used the node. Others need no new shares.
	used bool
}

// limitsSim runs one share policy on one case.
type limitsSim struct {
	limitsCase
	now           time.Duration
	rng           *rand.Rand
	organisations []fleet.Organisation
	nodes         []*limitsNode
	homes         [][]int
	cut           bool
	// admitted and asked are tokens by organisation and tick.
	admitted, asked [][]float64
	credit          []float64
}

func newLimitsSim(c limitsCase, seed uint64, policy limit.SharePolicy) *limitsSim {
	s := &limitsSim{limitsCase: c, rng: rand.New(rand.NewPCG(seed, 3)), organisations: limitsOrganisations()}
	configuration := &fleet.Configuration{Organisations: s.organisations}
	for i := range c.nodes {
		n := &limitsNode{board: &blackboard.Board{}, known: make(map[string]blackboard.NodeDemand), side: i % 2}
		n.board.Configuration.Publish(configuration)
		n.limiter = limit.NewLimiter(n.board, limit.Config{Policy: policy, Now: s.clock}, metrics.NewRegistry())
		n.gone = c.change == "come and go" && i%5 == 4
		s.nodes = append(s.nodes, n)
	}
	s.credit = make([]float64, len(s.organisations))
	s.admitted = make([][]float64, len(s.organisations))
	s.asked = make([][]float64, len(s.organisations))
	s.settle()
	s.members()
	return s
}

func (s *limitsSim) clock() time.Time { return time.Unix(1000, 0).Add(s.now) }

// settle chooses the nodes that each organisation's callers use.
func (s *limitsSim) settle() {
	s.homes = make([][]int, len(s.organisations))
	for o := range s.organisations {
		var live []int
		for i, n := range s.nodes {
			if !n.gone {
				live = append(live, i)
			}
		}
		if !s.spread {
			s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
			live = live[:limitsHomes]
		}
		s.homes[o] = live
		for _, i := range live {
			s.nodes[i].used = true
		}
	}
}

func (s *limitsSim) node(i int) string { return fmt.Sprintf("node-%03d", i) }

// hears reports whether a node can ask another.
func (s *limitsSim) hears(i, j int) bool {
	return !s.nodes[j].gone && (!s.cut || s.nodes[i].side == s.nodes[j].side)
}

// members publishes the members that each node knows. Nodes behind a cut stay
// members: no confirmed side drops them within these times.
func (s *limitsSim) members() {
	var all []fleet.MemberView
	for i, n := range s.nodes {
		if !n.gone {
			all = append(all, fleet.MemberView{Member: fleet.Member{Node: s.node(i), State: fleet.NodeServing}})
		}
	}
	for i, n := range s.nodes {
		n.board.Members.Publish(&blackboard.Members{Self: s.node(i), All: all})
	}
}

// exchange lets node i learn the demand of its peers.
func (s *limitsSim) exchange(i int) {
	n := s.nodes[i]
	if len(s.nodes) <= fullMesh {
		for j := range s.nodes {
			if j != i && s.hears(i, j) {
				n.known[s.node(j)] = s.nodes[j].limiter.LocalDemand()
			}
		}
	} else {
		for range gossipPeers {
			s.gossip(i, s.rng.IntN(len(s.nodes)))
		}
	}
	demand := &blackboard.Demand{ByNode: make(map[string]blackboard.NodeDemand, len(n.known))}
	for node, d := range n.known {
		if s.clock().Sub(d.ReceivedAt) > demandExpires {
			delete(n.known, node)
			continue
		}
		demand.ByNode[node] = d
	}
	n.board.Demand.Publish(demand)
}

// gossip lets node i learn what fits into one digest of node j.
func (s *limitsSim) gossip(i, j int) {
	if i == j || !s.hears(i, j) {
		return
	}
	n, peer := s.nodes[i], s.nodes[j]
	n.known[s.node(j)] = peer.limiter.LocalDemand()
	for range gossipRelayed {
		name := s.node(s.rng.IntN(len(s.nodes)))
		if d, found := peer.known[name]; found && name != s.node(i) && d.ReceivedAt.After(n.known[name].ReceivedAt) {
			n.known[name] = d
		}
	}
}

// apply makes the case's change.
func (s *limitsSim) apply() {
	switch s.change {
	case "demand moves":
		s.settle()
	case "cut apart":
		s.cut = true
	case "come and go":
		for i, n := range s.nodes {
			n.gone = i%5 == 0
		}
		s.members()
		s.settle()
	}
}

// run offers each organisation's demand at factor times its limit.
func (s *limitsSim) run(ctx context.Context, factor float64) error {
	for s.now = 0; s.now < limitsEnd; s.now += limitsTick {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		switch s.now {
		case limitsChange:
			s.apply()
		case limitsMerged:
			s.cut = false
		}
		for i, n := range s.nodes {
			// Nodes act at different phases of the second.
			phase := (s.now/limitsTick + time.Duration(i)) % 10
			if !n.gone && phase == 0 {
				s.exchange(i)
			}
			if !n.gone && n.used && phase%5 == 1 || s.now == 0 {
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
	var admitted, asked float64
	for s.credit[o] >= limitsTokens {
		s.credit[o] -= limitsTokens
		asked += limitsTokens
		n := s.nodes[s.homes[o][s.rng.IntN(len(s.homes[o]))]]
		if _, err := n.limiter.Admit(ctx, organisation.Name, "llm", limitsTokens, 0); err == nil {
			admitted += limitsTokens
		}
	}
	s.admitted[o] = append(s.admitted[o], admitted)
	s.asked[o] = append(s.asked[o], asked)
}

// overrun is the most that an organisation got above its limit in any window,
// as a part of the limit, among the first count organisations from first.
func (s *limitsSim) overrun(first, count int) float64 {
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

// unused is the part that organisations were due but did not get.
func (s *limitsSim) unused(first, count int) float64 {
	var got, due float64
	for o := first; o < first+count; o++ {
		cap := s.organisations[o].TokensPerSecond * limitsTick.Seconds()
		asked := 0.0
		for t := int(limitsWarmUp / limitsTick); t < len(s.admitted[o]); t++ {
			got += s.admitted[o][t]
			asked += s.asked[o][t]
		}
		due += min(asked, cap*float64(len(s.admitted[o])-int(limitsWarmUp/limitsTick)))
	}
	return max(1-got/due, 0)
}

// limits compares the ways to split limits over nodes.
func limits(ctx context.Context, seed uint64, emit Emit) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(simParallel)
	var runs []*limitsRun
	for _, nodes := range []int{9, 380} {
		for _, change := range []string{"steady", "demand moves", "cut apart", "come and go", "spread"} {
			if nodes > fullMesh && change == "spread" {
				continue // Every node takes part, which takes minutes.
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

// limitsRun offers demand at factor times the limits.
type limitsRun struct {
	name   string
	factor float64
	sim    *limitsSim
}

// emit writes the overrun and the unused part.
func (r *limitsRun) emit(emit Emit) {
	for _, size := range []struct {
		name         string
		first, count int
	}{{"large", 0, 2}, {"small", 2, 8}} {
		label := fmt.Sprintf("%s, %s, demand %.1f of limit", r.sim.name, size.name, r.factor)
		emit(r.name, label+", overrun", r.sim.overrun(size.first, size.count), "of limit")
		emit(r.name, label+", unused", r.sim.unused(size.first, size.count), "of due")
	}
}
