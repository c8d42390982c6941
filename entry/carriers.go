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
}

// addresses returns the peer addresses of the carriers, preferred ones first and otherwise in
// random order. live returns the other nodes that are alive.
func (c *carriers) addresses(domain string, live func() []*mesh.Node) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.at) > carriersAge {
		c.at, c.groups = now, groupCarriers(live(), domain)
	}
	var all []string
	for _, g := range c.groups {
		rand.Shuffle(len(g), func(i, j int) { g[i], g[j] = g[j], g[i] })
		all = append(all, g...)
	}
	return all
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
