package prove

import (
	"context"
	"testing"
	"time"
)

const wholeGroupRun = 31 * time.Second

// proveWholeGroup takes members away in every way under load at each node.
func proveWholeGroup(t *testing.T, p *proofRun) Result {
	// The short delay lets members return to a group that replaced them.
	repair := []string{"10s", "3500ms"}[p.random.IntN(2)]
	// With few groups a pair of faults breaks all, so that no healthy group draws
	// the requests away from a broken one.
	groups, size := 1+p.random.IntN(2), 2+p.random.IntN(2)
	c := p.start(t, clusterSpec{
		deployment: p.deployment(), nodes: 4, groups: groups, engines: groups*size + 1, size: size, tokensPerSecond: 200,
		bounds: map[string]string{"repairDelay": repair},
	})
	ctx, cancel := context.WithTimeout(context.Background(), wholeGroupRun)
	defer cancel()
	load := nodeLoad{cluster: c, seed: p.seed, clients: 3, maxTokens: 60, pause: 30 * time.Millisecond}
	load.start(ctx)
	streams := workload{cluster: c, seed: p.seed, attempts: 2, maxTokens: 300, pause: 50 * time.Millisecond}
	streams.completions(ctx, 6)
	const least, most = 3500 * time.Millisecond, 4500 * time.Millisecond
	faults := schedule{
		cluster: c, random: p.random, rest: [2]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}, singles: 2,
		kinds: []faultKind{
			killEngine, freezeEngine, hangEngine, lasting(restartEngine, time.Second, 2*time.Second), straggler, darkDomain,
			lasting(cutOneWay, least, most), lasting(splitRegions, least, most),
			lasting(freezeNode, least, most), lasting(platformDown, least, most),
		},
	}
	faults.run(ctx)
	load.wait()
	streams.wait()
	h := c.history()
	r := CheckWholeGroup(h)
	r.RequireFaults(h, FaultKillEngine, FaultFreezeEngine, FaultHangEngine, "restart engine", "straggler",
		FaultDarkDomain, "cut one way", "split regions", "freeze node", "platform down")
	return r
}
