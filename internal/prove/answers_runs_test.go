package prove

import (
	"context"
	"testing"
	"time"
)

const (
	// answerRunDuration is the time for which a run applies load and faults.
	answerRunDuration = 28 * time.Second
	// settleTime is the wait after a run, in which backend servers that were
	// suspended execute the requests they still hold, so that these are recorded.
	settleTime = 2 * time.Second
)

// answersSpec returns the cluster for the runs that check answers: four groups with
// spare engines, three plain servers and four nodes.
func answersSpec(p *proofRun) clusterSpec {
	return clusterSpec{
		deployment: p.deployment(), nodes: 4, groups: 2, engines: 5, groupSize: 2, servers: 3, tokensPerSecond: 100,
	}
}

// faultGap is the minimum and maximum time between faults in the runs that check
// answers.
var faultGap = [2]time.Duration{100 * time.Millisecond, 500 * time.Millisecond}

// runWithFaults starts the load, applies faults until the run ends, and returns the
// history after settleTime.
func runWithFaults(c *cluster, faults schedule, load func(ctx context.Context, w *workload), w *workload) *History {
	ctx, cancel := context.WithTimeout(context.Background(), answerRunDuration)
	defer cancel()
	w.cluster, faults.cluster, faults.gap = c, c, faultGap
	load(ctx, w)
	faults.run(ctx)
	w.wait()
	time.Sleep(settleTime)
	return c.history()
}

// proveOwnAnswer alters, delays, loses and truncates answers, and kills nodes, and
// engines in the middle of streams.
func proveOwnAnswer(t *testing.T, p *proofRun) Result {
	c := p.start(t, answersSpec(p))
	short := func(kind faultKind) faultKind {
		return withDurationRange(kind, 400*time.Millisecond, 1200*time.Millisecond)
	}
	kinds := []faultKind{short(killRankZero), short(killRankZero), short(killNode), short(delayAnswers)}
	for _, kind := range distortions() {
		kinds = append(kinds, short(kind))
	}
	return CheckOwnAnswer(runWithFaults(c, schedule{random: p.random, kinds: kinds}, func(ctx context.Context, w *workload) {
		w.completions(ctx, 12)
		w.calls(ctx, 6, 1)
	}, &workload{seed: p.seed, maxAttempts: 1, maxTokens: 120, pause: 20 * time.Millisecond}))
}

// proveNotRun kills, suspends and overloads backend servers, loses and truncates
// answers, takes the platform down, and kills and suspends nodes. Each engine
// accepts one request at a time, so that it refuses some. Every request is sent
// once.
func proveNotRun(t *testing.T, p *proofRun) Result {
	spec := answersSpec(p)
	spec.maxRunning = 1
	c := p.start(t, spec)
	short := func(kind faultKind) faultKind {
		return withDurationRange(kind, 500*time.Millisecond, 2500*time.Millisecond)
	}
	kinds := []faultKind{
		short(killRankZero), short(freezeRankZero), killServer, short(freezeServer), short(loseAnswers), short(cutAnswers),
		short(platformDown), short(killNode), short(freezeNode),
	}
	return CheckNotRun(runWithFaults(c, schedule{random: p.random, kinds: kinds}, func(ctx context.Context, w *workload) {
		w.completions(ctx, 20)
		w.directCalls(ctx, 8, 0)
	}, &workload{seed: p.seed, maxAttempts: 1, maxTokens: 40, pause: 20 * time.Millisecond}))
}

// proveAtMostOnce retries calls through other nodes, sequentially and concurrently,
// while nodes, servers and the platform fail.
func proveAtMostOnce(t *testing.T, p *proofRun) Result {
	spec := answersSpec(p)
	spec.groups, spec.engines = 1, 2
	c := p.start(t, spec)
	short := func(kind faultKind) faultKind {
		return withDurationRange(kind, 500*time.Millisecond, 2500*time.Millisecond)
	}
	kinds := []faultKind{
		short(killNode), short(freezeNode), killServer, short(loseAnswers), short(delayAnswers),
		short(platformLosesAnswers), short(platformSlow), short(platformDown),
	}
	return CheckAtMostOnce(runWithFaults(c, schedule{random: p.random, kinds: kinds}, func(ctx context.Context, w *workload) {
		w.directCalls(ctx, 12, 2)
	}, &workload{seed: p.seed, pause: 20 * time.Millisecond}))
}
