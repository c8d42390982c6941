package prove

import (
	"context"
	"testing"
	"time"
)

const (
	// answersRun is the time under load and faults of one run.
	answersRun = 28 * time.Second
	// settleTime lets back ends that were frozen run what they still hold, so
	// that it is in the record.
	settleTime = 2 * time.Second
)

// answersSpec describes the cluster of the runs about answers: four groups with
// spare engines, three plain servers and four nodes.
func answersSpec(p *proofRun) clusterSpec {
	return clusterSpec{
		deployment: p.deployment(), nodes: 4, groups: 2, engines: 5, size: 2, servers: 3, tokensPerSecond: 100,
	}
}

// rests is the time between faults in the runs about answers.
var rests = [2]time.Duration{100 * time.Millisecond, 500 * time.Millisecond}

// runUnder starts the load, applies faults until the run ends and returns the
// history after everything has settled.
func runUnder(c *cluster, faults schedule, load func(ctx context.Context, w *workload), w *workload) *History {
	ctx, cancel := context.WithTimeout(context.Background(), answersRun)
	defer cancel()
	w.cluster, faults.cluster, faults.rest = c, c, rests
	load(ctx, w)
	faults.run(ctx)
	w.wait()
	time.Sleep(settleTime)
	return c.history()
}

// proveOwnAnswer distorts, delays, loses and cuts answers and kills engines
// during streams and nodes.
func proveOwnAnswer(t *testing.T, p *proofRun) Result {
	c := p.start(t, answersSpec(p))
	short := func(kind faultKind) faultKind { return held(kind, 400*time.Millisecond, 1200*time.Millisecond) }
	kinds := []faultKind{short(killRankZero), short(killRankZero), short(killNode), short(delayAnswers)}
	for _, kind := range distortions() {
		kinds = append(kinds, short(kind))
	}
	return CheckOwnAnswer(runUnder(c, schedule{random: p.random, kinds: kinds}, func(ctx context.Context, w *workload) {
		w.completions(ctx, 12)
		w.calls(ctx, 6, 1)
	}, &workload{seed: p.seed, attempts: 1, maxTokens: 120, pause: 20 * time.Millisecond}))
}

// proveNotRun kills, freezes and fills back ends, loses and cuts answers, takes
// the platform down and kills and freezes nodes. Engines hold few requests, so
// that they refuse some. Every request is sent once.
func proveNotRun(t *testing.T, p *proofRun) Result {
	spec := answersSpec(p)
	spec.maxRunning = 1
	c := p.start(t, spec)
	short := func(kind faultKind) faultKind { return held(kind, 500*time.Millisecond, 2500*time.Millisecond) }
	kinds := []faultKind{
		short(killRankZero), short(freezeRankZero), killServer, short(freezeServer), short(loseAnswers), short(cutAnswers),
		short(platformDown), short(killNode), short(freezeNode),
	}
	return CheckNotRun(runUnder(c, schedule{random: p.random, kinds: kinds}, func(ctx context.Context, w *workload) {
		w.completions(ctx, 20)
		w.directCalls(ctx, 8, 0)
	}, &workload{seed: p.seed, attempts: 1, maxTokens: 40, pause: 20 * time.Millisecond}))
}

// proveAtMostOnce repeats calls through other nodes, one after another and at
// the same time, while nodes, servers and the platform fail.
func proveAtMostOnce(t *testing.T, p *proofRun) Result {
	spec := answersSpec(p)
	spec.groups, spec.engines = 1, 2
	c := p.start(t, spec)
	short := func(kind faultKind) faultKind { return held(kind, 500*time.Millisecond, 2500*time.Millisecond) }
	kinds := []faultKind{
		short(killNode), short(freezeNode), killServer, short(loseAnswers), short(delayAnswers),
		short(platformLosesAnswers), short(platformSlow), short(platformDown),
	}
	return CheckAtMostOnce(runUnder(c, schedule{random: p.random, kinds: kinds}, func(ctx context.Context, w *workload) {
		w.directCalls(ctx, 12, 2)
	}, &workload{seed: p.seed, pause: 20 * time.Millisecond}))
}
