package prove

import (
	"context"
	"testing"
	"time"
)

// wholeGroupRunDuration is the time for which a run applies load and faults.
const wholeGroupRunDuration = 31 * time.Second

// proveWholeGroup makes group members unavailable by every kind of fault, under load
// at each node.
func proveWholeGroup(t *testing.T, p *proofRun) Result {
	// With the short repair delay, members come back after their group has replaced
	// them.
	repair := []string{"10s", "3500ms"}[p.random.IntN(2)]
	// With few groups two faults can break all of them, so that no healthy group
	// takes the requests from a broken one.
	groups, size := 1+p.random.IntN(2), 2+p.random.IntN(2)
	c := p.start(t, clusterSpec{
		deployment: p.deployment(), nodes: 4, groups: groups, engines: groups*size + 1, groupSize: size, tokensPerSecond: 200,
		bounds: map[string]string{"repairDelay": repair},
	})
	ctx, cancel := context.WithTimeout(context.Background(), wholeGroupRunDuration)
	defer cancel()
	load := nodeLoad{cluster: c, seed: p.seed, clients: 3, maxTokens: 60, pause: 30 * time.Millisecond}
	load.start(ctx)
	streams := workload{cluster: c, seed: p.seed, maxAttempts: 2, maxTokens: 300, pause: 50 * time.Millisecond}
	streams.completions(ctx, 6)
	const least, most = 3500 * time.Millisecond, 4500 * time.Millisecond
	faults := schedule{
		cluster: c, random: p.random, gap: [2]time.Duration{200 * time.Millisecond, 600 * time.Millisecond}, maxSingles: 2,
		kinds: []faultKind{
			killEngine, freezeEngine, hangEngine, withDuration(restartEngine, time.Second, 2*time.Second), straggler, freezeFabricDomain,
			withDuration(cutOneWay, least, most), withDuration(splitRegions, least, most),
			withDuration(freezeNode, least, most), withDuration(platformDown, least, most),
		},
	}
	faults.run(ctx)
	load.wait()
	streams.wait()
	h := c.history()
	r := CheckWholeGroup(h)
	r.RequireFaults(h, FaultKillEngine, FaultFreezeEngine, FaultHangEngine, "restart engine", "straggler",
		FaultFreezeFabricDomain, "cut one way", "split regions", "freeze node", "platform down")
	return r
}
