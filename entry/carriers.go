package entry

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rattanlanding/rattanlanding/mesh"
)

// carriersAge is the age up to which the list of carriers is used.
const carriersAge = 100 * time.Millisecond

// carriers are the nodes that can carry requests to backend servers.
type carriers struct {
	mu sync.Mutex
	at time.Time
	// groups hold peer addresses, preferred ones in earlier groups.
	groups [][]string
	// strandedNodes is the number of nodes that serve and have lost their links.
	strandedNodes int
}

// addresses returns the peer addresses of the carriers, preferred ones first and otherwise in
// random order. live returns the other nodes that are alive.
func (c *carriers) addresses(domain string, live func() []*mesh.Node) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(domain, live)
	var all []string
	for _, g := range c.groups {
		rand.Shuffle(len(g), func(i, j int) { g[i], g[j] = g[j], g[i] })
		all = append(all, g...)
	}
	return all
}

// stranded returns the number of nodes that serve and have lost their links.
func (c *carriers) stranded(domain string, live func() []*mesh.Node) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.update(domain, live)
	return c.strandedNodes
}

// update updates what is too old. The caller holds the lock.
func (c *carriers) update(domain string, live func() []*mesh.Node) {
	now := time.Now()
	if now.Sub(c.at) <= carriersAge {
		return
	}
	nodes := live()
	c.at, c.groups, c.strandedNodes = now, groupCarriers(nodes, domain), 0
	for _, n := range nodes {
		if n.Stranded && n.Serving && !n.Leaving {
			c.strandedNodes++
		}
	}
}

// groupCarriers returns the peer addresses of the nodes that can carry requests: first those to
// which callers are sent, as these know whether they reach the servers, and last those that stop,
// which take what they can end in time. Nodes of the own failure domain precede the others.
func groupCarriers(live []*mesh.Node, domain string) [][]string {
	active := live
	if len(live) >= maxFullList {
		active = activeNodes(live)
	}
	const preferences, domains = 3, 2
	groups := make([][]string, preferences*domains)
	for _, n := range live {
		preference := 0
		switch {
		case n.Stranded || n.PeerAddress == "" || !(n.CanCarry() || n.Leaving):
			continue
		case n.Leaving:
			preference = 2
		case !slices.Contains(active, n):
			preference = 1
		}
		at := preference * domains
		if n.FailureDomain != domain {
			at++
		}
		groups[at] = append(groups[at], n.PeerAddress)
	}
	return groups
}
