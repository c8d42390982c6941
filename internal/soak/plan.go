package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// Kinds of faults.
const (
	// nodeKill, nodePause, nodeStop and nodeHangUp send SIGKILL, SIGSTOP, SIGTERM and
	// SIGHUP to one node; allKill sends SIGKILL to all nodes.
	nodeKill   kind = "node-kill"
	nodePause  kind = "node-pause"
	nodeStop   kind = "node-stop"
	nodeHangUp kind = "node-hangup"
	allKill    kind = "all-kill"
	// storeDown makes the store unavailable to all nodes, and storeForget makes it
	// drop its history of changes. storeRestored makes it unavailable and then restores it
	// from an older copy.
	storeDown     kind = "store-down"
	storeForget   kind = "store-forget"
	storeRestored kind = "store-restored"
	// storeOdd adds an entry of another writer among those of the engines.
	storeOdd kind = "store-odd"
	// The others are faults of one node's link to the store; see storeModes.
	storeReset  kind = "store-reset"
	storeSilent kind = "store-silent"
	storeMute   kind = "store-mute"
	storeSlow   kind = "store-slow"
	// engineCrash and engineDrain end an engine, which is then replaced.
	engineCrash kind = "engine-crash"
	engineDrain kind = "engine-drain"
	// These are faults of the link to one engine; see engineModes.
	engineReset kind = "engine-reset"
	engineMute  kind = "engine-mute"
	engineDeaf  kind = "engine-deaf"
	engineSlow  kind = "engine-slow"
	// engineLost makes an engine lose a fraction of its responses, and ordersLate
	// delays a fraction of the orders to all engines.
	engineLost kind = "engine-lost"
	// engineLimited makes an engine state a request rate.
	engineLimited kind = "engine-limited"
	ordersLate    kind = "orders-late"
	// engineSilent makes an engine send nothing for a while and then go on.
	// engineUnframed makes its responses end with their connection, without a length.
	engineSilent   kind = "engine-silent"
	engineUnframed kind = "engine-unframed"
	// deadlyRequest is a request that crashes each engine that runs it, and that its caller
	// sends again and again.
	deadlyRequest kind = "deadly-request"
	// evacuation evacuates a failure domain, whose engines are cold when it ends.
	evacuation kind = "evacuation"
	// keyRevoked revokes one of the two keys; a plan has it at most once.
	keyRevoked kind = "key-revoked"
)

// kindWeights are the relative frequencies with which the kinds are drawn.
var kindWeights = []struct {
	kind
	weight int
}{
	{nodeKill, 4}, {nodePause, 3}, {nodeStop, 3}, {nodeHangUp, 1}, {allKill, 1},
	{storeDown, 2}, {storeForget, 2}, {storeRestored, 2}, {storeReset, 2}, {storeSilent, 2}, {storeMute, 1}, {storeSlow, 1}, {storeOdd, 3},
	{engineCrash, 6}, {engineDrain, 2}, {engineReset, 2}, {engineMute, 2}, {engineDeaf, 1}, {engineSlow, 1}, {engineLost, 2}, {engineLimited, 3}, {ordersLate, 5},
	{engineSilent, 3}, {engineUnframed, 3}, {deadlyRequest, 3},
	{keyRevoked, 1}, {evacuation, 3},
}

// longKinds last longer than others, because their effects take some time to begin.
var longKinds = map[kind]bool{evacuation: true, engineLimited: true, deadlyRequest: true, storeOdd: true}

// Times of a plan.
const (
	// minFaultDuration is the shortest duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 3 * time.Second
	// longFactor multiplies the duration of longKinds.
	longFactor = 4
	// faultsPerSecond is the mean number of faults that begin in a second.
	faultsPerSecond = 1.2
	// recoveryPeriod is the time without faults at the end of a run, in which the system
	// recovers. It is longer than the recovery times that the users' sites require.
	recoveryPeriod = 13 * time.Second
)

// fault is one fault of a plan.
type fault struct {
	kind
	// start is the time from the start of the plan.
	start, duration time.Duration
	// target selects a node or an engine, modulo their number.
	target int
}

func (f fault) String() string {
	return fmt.Sprintf("%.2fs %s %d for %.2fs", f.start.Seconds(), f.kind, f.target, f.duration.Seconds())
}

// newPlan draws the faults of a run, sorted by start. Each ends by length, or
// minFaultDuration after its start if that is later; the recovery period begins when all
// have ended.
func newPlan(seed uint64, length time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 0x50a4))
	total := 0
	for _, w := range kindWeights {
		total += w.weight
	}
	var plan []fault
	revoked := false
	for range int(length.Seconds() * faultsPerSecond) {
		f := fault{start: time.Duration(rng.Int64N(int64(length))), target: rng.IntN(1 << 16),
			duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))}
		f.duration = max(min(f.duration, length-f.start), minFaultDuration)
		draw := rng.IntN(total)
		for _, w := range kindWeights {
			if draw -= w.weight; draw < 0 {
				f.kind = w.kind
				break
			}
		}
		if longKinds[f.kind] {
			f.duration = max(min(longFactor*f.duration, length-f.start), minFaultDuration)
		}
		if f.kind == keyRevoked && revoked {
			continue
		}
		revoked = revoked || f.kind == keyRevoked
		plan = append(plan, f)
	}
	slices.SortFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}
